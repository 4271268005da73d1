package assembler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestPortRanges covers processes whose ids select the same range of ports.
func TestPortRanges(t *testing.T) {
	const pid = 7
	first, firstBase := ownRange(pid)
	second, secondBase := ownRange(pid + processRanges)
	t.Cleanup(func() { _ = second.Close() })
	assert.NotEqual(t, firstBase, secondBase)
	t.Run("a range is free again when its owner has ended", func(t *testing.T) {
		assert.NoError(t, first.Close())
		third, base := ownRange(pid)
		assert.NoError(t, third.Close())
		assert.Equal(t, firstBase, base)
	})
}
