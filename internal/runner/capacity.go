package runner

import (
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
)

// onSnapshot updates the limits from a new snapshot.
func (n *Node) onSnapshot(snapshot *publisher.Snapshot) {
	n.limiter.Configure(capacity(snapshot, n.Settings.Name, n.Settings.Domain))
}

// capacity returns a node's fixed share of the power ceiling: the share of its
// failure domain, minus the idle power of the domain's endpoints, divided by the
// configured number of hosts. The sum of all nodes' shares does not exceed the
// ceiling, even if nodes can't reach each other, as long as no more nodes run than
// are configured. If more nodes are known than configured, the share is divided
// among all of them: a replacement may run beside a predecessor that is only
// paused. If a domain's endpoints use more idle power than its share, the nodes'
// shares are 0. Watts is -1 without a ceiling.
func capacity(snapshot *publisher.Snapshot, name, domain string) limiter.Capacity {
	result := limiter.Capacity{Watts: -1}
	for _, declared := range configurator.All[configurator.Domain](snapshot.Configuration) {
		result.Nodes += declared.Hosts
	}
	ceilings := configurator.All[configurator.Ceiling](snapshot.Configuration)
	if len(ceilings) == 0 {
		return result
	}
	ownDomain, _ := configurator.Find[configurator.Domain](snapshot.Configuration, configurator.KindDomain, domain)
	known := len(knownNodes(snapshot, name, domain))
	result.Watts = 0
	for _, ceiling := range ceilings {
		share := ceiling.Shares[domain] - idleWatts(snapshot, domain)
		result.Watts = max(share/float64(max(ownDomain.Hosts, known, 1)), 0)
	}
	return result
}

// knownNodes returns the names of a failure domain's nodes that are known from
// the host list or from heartbeats, including the node itself.
func knownNodes(snapshot *publisher.Snapshot, name, domain string) map[string]bool {
	names := map[string]bool{name: true}
	for _, row := range snapshot.Nodes {
		if row.Domain == domain {
			names[row.Name] = true
		}
	}
	for _, peer := range snapshot.Peers {
		if peer.Domain == domain {
			names[peer.Name] = true
		}
	}
	return names
}

func idleWatts(snapshot *publisher.Snapshot, domain string) float64 {
	sum := 0.0
	for name, rows := range snapshot.Services {
		service, _ := snapshot.Service(name)
		for _, row := range rows {
			if row.Domain == domain {
				sum += service.IdleWatts
			}
		}
	}
	return sum
}
