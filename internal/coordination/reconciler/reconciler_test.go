package reconciler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

func TestDue(t *testing.T) {
	row := func(i int, weights string, loading bool) registrar.EndpointState {
		return registrar.EndpointState{
			Endpoint: registrar.Endpoint{Name: fmt.Sprintf("e%d", i)},
			Report:   registrar.Report{Version: weights, Loading: loading},
		}
	}
	cases := []struct {
		name     string
		rows     []registrar.EndpointState
		expected []string
	}{
		{"at most two at once", []registrar.EndpointState{row(0, "w1", false), row(1, "w1", false), row(2, "w1", false)}, []string{"e0", "e1"}},
		{"loading endpoints count towards the limit", []registrar.EndpointState{row(0, "w1", true), row(1, "w1", false), row(2, "w1", false)}, []string{"e1"}},
		{"endpoints with the target weights are skipped", []registrar.EndpointState{row(0, "w2", false), row(1, "w1", false)}, []string{"e1"}},
		{"endpoints with unknown weights are skipped", []registrar.EndpointState{row(0, "", false)}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var names []string
			for _, selected := range due(c.rows, "w2") {
				names = append(names, selected.Name)
			}
			assert.Equal(t, c.expected, names)
		})
	}
}
