package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
)

// candidates returns n idle endpoints.
func candidates(n int) []Candidate {
	var all []Candidate
	for i := range n {
		all = append(all, Candidate{Name: fmt.Sprintf("e%d", i), SameDomain: true, Slots: 8, PrefillRate: 1000})
	}
	return all
}

func assertPick(t *testing.T, expected int, request Request, all []Candidate) Choice {
	t.Helper()
	choice, ok := Cost{}.Pick(request, all)
	require.True(t, ok)
	assert.Equal(t, expected, choice.Index)
	return choice
}

func TestCost(t *testing.T) {
	request := Request{Tokens: 10000, PrefixHash: 1, Objective: configurator.ObjectiveFirstToken}
	t.Run("the cached prefix wins", func(t *testing.T) {
		all := candidates(3)
		all[2].CachedTokens = 8000
		assertPick(t, 2, request, all)
	})
	t.Run("a long queue outweighs the cache", func(t *testing.T) {
		all := candidates(2)
		all[1].CachedTokens, all[1].QueuedTokens = 8000, 20000
		assertPick(t, 0, request, all)
	})
	t.Run("the recompute objective prefers the cached prefix despite the queue", func(t *testing.T) {
		all := candidates(2)
		all[1].CachedTokens, all[1].QueuedTokens = 8000, 20000
		recompute := request
		recompute.Objective = configurator.ObjectiveRecompute
		assertPick(t, 1, recompute, all)
	})
	t.Run("an import that is quicker than computing is chosen", func(t *testing.T) {
		all := candidates(1)
		all[0].StoredTokens, all[0].ImportWait = 8000, time.Second
		assert.True(t, assertPick(t, 0, request, all).Import)
	})
	t.Run("an import that is slower than computing is not chosen", func(t *testing.T) {
		all := candidates(1)
		all[0].StoredTokens, all[0].ImportWait = 8000, time.Minute
		assert.False(t, assertPick(t, 0, request, all).Import)
	})
	t.Run("a full endpoint is skipped", func(t *testing.T) {
		all := candidates(2)
		all[0].CachedTokens, all[0].Running = 10000, 8
		assertPick(t, 1, request, all)
	})
	t.Run("a request that must run alone skips endpoints with running requests", func(t *testing.T) {
		all := candidates(1)
		all[0].Running = 1
		_, ok := Cost{}.Pick(Request{Exclusive: true}, all)
		assert.False(t, ok)
	})
}

func TestAffinity(t *testing.T) {
	all := candidates(9)
	preferred, _ := Affinity{}.Pick(Request{PrefixHash: 7}, all)
	t.Run("prompts with a common prefix get the same endpoint", func(t *testing.T) {
		again, _ := Affinity{}.Pick(Request{PrefixHash: 7, Sequence: 5}, all)
		assert.Equal(t, preferred.Index, again.Index)
	})
	t.Run("another endpoint becoming full changes nothing", func(t *testing.T) {
		oneFull := append([]Candidate(nil), all...)
		other := (preferred.Index + 1) % len(all)
		oneFull[other].Running = oneFull[other].Slots
		again, _ := Affinity{}.Pick(Request{PrefixHash: 7}, oneFull)
		assert.Equal(t, preferred.Index, again.Index)
	})
	t.Run("load is bounded", func(t *testing.T) {
		busy := append([]Candidate(nil), all...)
		busy[preferred.Index].Running = 7
		again, _ := Affinity{}.Pick(Request{PrefixHash: 7}, busy)
		assert.NotEqual(t, preferred.Index, again.Index)
	})
}

func TestRegistry(t *testing.T) {
	assert.Equal(t, []string{"affinity", "cost", "round-robin"}, Names())
	_, err := Get("random")
	assert.Error(t, err)
}

func BenchmarkCost(b *testing.B) {
	for _, n := range []int{9, 150, 1200} {
		b.Run(fmt.Sprintf("%d endpoints", n), func(b *testing.B) {
			all := candidates(n)
			for i := range b.N {
				_, _ = Cost{}.Pick(Request{Tokens: 10000, PrefixHash: uint64(i)}, all)
			}
		})
	}
}
