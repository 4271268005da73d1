package relayer

import (
	"math"
	"net/netip"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// While endpoints share their hosts, nodes send their load more often than the other contents of
// heartbeats: every loadPeriod within a failure domain, and every otherLoadPeriod to hubs of
// others. With the longer periods, nodes choose the endpoints whose reported load is too low at
// the moment: it was 40 to 50 % below what the endpoints themselves reported.
const (
	loadPeriod      = 30 * time.Millisecond
	otherLoadPeriod = 60 * time.Millisecond
)

// loadLists are the loads for the heartbeats of one moment. Each list is made once, when the
// first heartbeat needs it, and not changed any more.
type loadLists struct {
	report []peertracker.Load
	total  []peertracker.Load
}

// loads returns the list for heartbeats of a kind.
func (p *Peers) loads(now time.Time, kind kind, lists *loadLists) []peertracker.Load {
	if kind == toMembers {
		if lists.total == nil {
			lists.total = p.Balancer.Total(now)
		}
		return lists.total
	}
	if lists.report == nil {
		lists.report = p.Balancer.Report(now)
	}
	return lists.report
}

// takeLoads returns the first loads of the list for which there is room, in a report from
// endpoint next on, and the others.
func takeLoads(loads []peertracker.Load, next uint32, room int) (report *peertracker.LoadReport, left []peertracker.Load) {
	n := min(len(loads), room/loadBytes)
	report = &peertracker.LoadReport{First: next, Last: math.MaxUint32, Loads: loads[:n]}
	if left = loads[n:]; len(left) > 0 {
		report.Last = left[0].Endpoint - 1
	}
	return report, left
}

// sendLoads sends heartbeats with nothing but the sender's state and load. It is called between
// two steps of Run with all heartbeats and, with otherHubsOnly, at such a step, whose heartbeats
// do not go to all hubs of other domains. Members get none while the link has no room for them.
func (p *Peers) sendLoads(now time.Time, otherHubsOnly bool) {
	p.mu.Lock()
	targets := p.targets
	if otherHubsOnly {
		targets = due{otherHubs: targets.otherHubs}
	}
	if now.Sub(p.lastOtherLoads) < otherLoadPeriod-loadPeriod/2 {
		targets.otherHubs = nil
	} else {
		p.lastOtherLoads = now
	}
	p.mu.Unlock()
	if !p.linkBudget.allows(now, p.Bandwidth) {
		targets.members = nil
	}
	var lists loadLists
	targets.each(func(to []netip.AddrPort, kind kind) {
		heartbeat := p.stateHeartbeat(now, kind)
		next, loads := uint32(0), p.loads(now, kind, &lists)
		for {
			heartbeat.Sequence = p.sequence.Add(1)
			heartbeat.Loads, loads = takeLoads(loads, next, datagramBytes-fixedBytes)
			p.send(to, heartbeat)
			if len(loads) == 0 {
				return
			}
			next = loads[0].Endpoint
		}
	})
}
