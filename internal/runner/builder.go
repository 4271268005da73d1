package runner

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/archiver"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/claimer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/dispatcher"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/evictor"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/router"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/ticketer"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/packer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/dialer"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/follower"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/gossiper"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/listener"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/messenger"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/meter"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/verifier"
)

func (n *Node) buildMetrics() {
	n.meter = meter.New(n.Settings.Name, n.Settings.Domain)
	n.metrics = n.meter.Scope
	n.closeMetrics = func() { _ = n.meter.Close() }
}

func (n *Node) buildTransport() {
	n.pools = &dialer.Pools{DialTimeout: dialTimeout}
	n.engine = &dialer.Engine{Pools: n.pools}
	platformTransport := verifier.NewTransport(&http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxIdleConnsPerHost: claimer.Partitions})
	n.hosts = &dialer.Hosts{Address: n.Settings.Hosts, HTTP: &http.Client{Transport: platformTransport, Timeout: hostsTimeout}}
	n.logService = &follower.Client{Address: n.Settings.Log, HTTP: &http.Client{Transport: platformTransport}}
	n.claims = &claimer.Claimer{
		Stream:     &follower.Claims{Client: n.logService},
		Process:    n.process,
		Timeout:    logTimeout,
		PauseLimit: pauseLimit,
		Owner:      &streamOwner{node: n},
		Keep:       func() time.Duration { return n.retention().Keep },
		Now:        time.Now,
	}
	learner := &evictor.Learner{}
	n.links = &archiver.Links{Budget: n.linkBudget}
	n.store = &dialer.Store{Pools: n.pools}
	n.archive = &archiver.Archive{Store: n.store, Mover: n.engine, Links: n.links, Process: n.process, Learner: learner, Now: time.Now}
	n.storeCleaner = &archiver.StoreCleaner{Store: n.store, Policy: evictor.Must(evictionPolicy, learner), Now: time.Now}
	n.gossip = &gossiper.Gossiper{Address: n.Settings.Peers, Packer: packer.Packer{Key: n.Settings.PeerKey}, Receive: n.receiveHeartbeat}
	peerTransport := verifier.NewTransport(&http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext})
	n.peerClient = messenger.NewClient(peerTransport, peerTimeout, n.Settings.PeerKey)
	n.ticketClient = messenger.NewClient(peerTransport, ticketTimeout, n.Settings.PeerKey)
}

func (n *Node) buildControl() {
	n.control = &control{
		journal:       n.journal,
		current:       n.current,
		now:           time.Now,
		messages:      make(chan message, messageBacklog),
		onSnapshot:    n.onSnapshot,
		state:         configurator.New(),
		endpointTable: registrar.New(),
		peerView:      &peertracker.View{Domain: n.Settings.Domain, SameDomainTimeout: sameDomainTimeout, OtherDomainTimeout: otherDomainTimeout},
		records:       n.records,
	}
	n.control.publish()
}

func (n *Node) buildCallers(policy router.Policy) {
	budget := &retrier.Budget{Ratio: retryRatio, Reserve: retryCapacity}
	prompts := &dispatcher.PromptRunner{
		SnapshotPointer: n.current,
		Engine:          n.engine,
		InFlight:        n.inFlight,
		Policy:          policy,
		Hints:           n.hints,
		Budget:          budget,
		Jitter:          retrier.UniformJitter,
		Suspects:        n.suspects,
		Background: func(work func(ctx context.Context)) {
			n.callers.Background(work)
		},
		Broadcast: n.broadcastHeartbeat,
		Journal:   n.journal,
		Domain:    n.Settings.Domain,
		Now:       time.Now,
	}
	if n.Settings.Stores {
		prompts.Archive = n.archive
	}
	calls := &dispatcher.CallRunner{
		SnapshotPointer: n.current,
		ServiceClient:   &dialer.Service{Pools: n.pools},
		InFlight:        n.inFlight,
		Budget:          budget,
		Jitter:          retrier.UniformJitter,
		Journal:         n.journal,
		Domain:          n.Settings.Domain,
		Now:             time.Now,
	}
	n.tickets = &dispatcher.TicketCallRunner{
		CallRunner: calls,
		Ticketer: &ticketer.Ticketer{
			Node: n.Settings.Name, ProcessID: n.process, Key: n.Settings.PeerKey, Expiry: ticketExpiry, Now: time.Now,
		},
		PeerForwarder: n,
	}
	n.callers = &listener.Server{
		Node:             n.Settings.Name,
		SnapshotPointer:  n.current,
		Limiter:          n.limiter,
		PromptRunner:     prompts,
		CallRunner:       calls,
		KeyedCallRunner:  &dispatcher.KeyedCallRunner{CallRunner: calls, Claims: n.claims},
		TicketCallRunner: n.tickets,
		Inspect:          n.claims,
		Journal:          n.journal,
		Metrics:          n.metrics,
		Log:              n.Log,
		Now:              time.Now,
		Instance:         n.process,
	}
}
