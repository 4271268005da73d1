package relayer_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/relayer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

// TestPickWhileHeartbeatArrives guards against nodes that hang: the Balancer asks Peers what a
// request may fetch while it holds its own lock, so that Peers must not wait for the Balancer.
func TestPickWhileHeartbeatArrives(t *testing.T) {
	node := relayer.New(zerolog.Nop(), time.Now)
	go node.Run(t.Context())
	peers := newPeers(t, node, &standinStateClient{})
	inPick, done := make(chan struct{}), make(chan struct{})
	work := func(endpointtracker.Endpoint) balancer.Work {
		close(inPick)
		time.Sleep(200 * time.Millisecond)
		peers.MayFetch()
		return balancer.Work{}
	}
	go func() {
		defer close(done)
		peers.Balancer.Pick(time.Now(), balancer.Request{Endpoints: []endpointtracker.Endpoint{{ID: "a"}}, Work: work})
	}()
	<-inPick
	// It is of a peer that is neither a hub nor a member.
	go peers.HandleHeartbeat(heartbeat(1))
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		assert.Fail(t, "the node hangs")
	}
}
