package placer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/resumer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

// TestResumeInOverload covers a caller that takes its stream up while more requests come than the
// engines run. The engines of its build are a part of all, so that it would be refused more
// often than new streams.
func TestResumeInOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := testView(nil, 1, 1, 1, 1)
		for i := range view.Endpoints[service] {
			view.Endpoints[service][i].Build = []string{"v1", "v1", "v2", "v2"}[i]
		}
		p := newPlacer(view)
		for {
			if _, ok := p.Balancer.Pick(time.Now(), balancer.Request{Endpoints: view.Endpoints[service], Tokens: 160, Capacity: 10_000}); !ok {
				break
			}
		}
		attempt, err := place(t, p, cataloger.Team{}, forwarder.Progress{Build: resumer.Build{Service: service, Version: "v1"}})
		require.NoError(t, err)
		assert.Equal(t, "v1", attempt.Endpoint.Build)
		_, err = place(t, p, cataloger.Team{}, forwarder.Progress{})
		assert.Error(t, err, "a new stream is refused")
	})
}
