package runner

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/state/observer"
)

// TestNewcomersAreAnsweredOnce shows that two nodes that do not know each other
// yet don't answer each other's answers.
func TestNewcomersAreAnsweredOnce(t *testing.T) {
	var g greetings
	old, replaced := observer.Heartbeat{Name: "n1", Incarnation: 1}, observer.Heartbeat{Name: "n1", Incarnation: 2}
	assert.True(t, g.first(old))
	assert.False(t, g.first(old))
	assert.True(t, g.first(replaced))
	assert.False(t, g.first(replaced))
}
