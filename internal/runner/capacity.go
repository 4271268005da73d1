package runner

import (
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
)

// changed brings the limits up to date with a new snapshot.
func (n *Node) changed(snapshot *publisher.Snapshot) {
	n.limiter.Configure(capacity(snapshot, n.Settings.Name, n.Settings.Domain))
}

// capacity works out a node's fixed share of the power ceiling: its failure
// domain's share, less what the domain's endpoints draw idle, divided by the
// configured number of entry hosts. The shares of all nodes never add up to
// more than the ceiling, whoever can reach whom. While more nodes are known than
// are configured, as when a replacement runs beside a predecessor that may only
// be paused, the share is divided among all of them.
func capacity(snapshot *publisher.Snapshot, name, domain string) limiter.Capacity {
	found := limiter.Capacity{Watts: -1}
	for _, declared := range configurator.All[configurator.Domain](snapshot.Configuration) {
		found.Nodes += declared.Hosts
	}
	ceilings := configurator.All[configurator.Ceiling](snapshot.Configuration)
	if len(ceilings) == 0 {
		return found
	}
	own, _ := configurator.Find[configurator.Domain](snapshot.Configuration, configurator.KindDomain, domain)
	known := len(knownNodes(snapshot, name, domain))
	found.Watts = 0
	for _, ceiling := range ceilings {
		share := ceiling.Shares[domain] - idleWatts(snapshot, domain)
		found.Watts = max(share/float64(max(own.Hosts, known, 1)), 0)
	}
	return found
}

// knownNodes returns the names of a failure domain's nodes that the host list
// or heartbeats show, the node itself among them.
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
