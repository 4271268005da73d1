package runner

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/state/observer"
)

// TestNewIncarnationIsAnsweredOnce checks that only the first heartbeat of a
// node's incarnation is answered. Otherwise two new nodes would answer each
// other's answers forever.
func TestNewIncarnationIsAnsweredOnce(t *testing.T) {
	var g knownIncarnations
	old, replaced := observer.Heartbeat{Name: "n1", Incarnation: 1}, observer.Heartbeat{Name: "n1", Incarnation: 2}
	assert.True(t, g.add(old))
	assert.False(t, g.add(old))
	assert.True(t, g.add(replaced))
	assert.False(t, g.add(replaced))
}
