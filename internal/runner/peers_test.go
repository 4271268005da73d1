package runner

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// TestNewIncarnationIsAnsweredOnce checks that only the first heartbeat of a
// node's incarnation is answered. Otherwise two new nodes would answer each
// other's answers forever.
func TestNewIncarnationIsAnsweredOnce(t *testing.T) {
	var known knownIncarnations
	first, restarted := peertracker.Heartbeat{Name: "n1", Incarnation: 1}, peertracker.Heartbeat{Name: "n1", Incarnation: 2}
	assert.True(t, known.add(first))
	assert.False(t, known.add(first))
	assert.True(t, known.add(restarted))
	assert.False(t, known.add(restarted))
}
