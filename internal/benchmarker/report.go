package benchmarker

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

var classOrder = []Class{ClassFirst, ClassReturn, ClassBulk, ClassLookup, ClassOrder}

// Quantile returns the latency of a class at a quantile between 0 and 100: the time
// to the first token for prompts, to the complete answer for calls.
func (r *Report) Quantile(class Class, quantile float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.class(class).latencies.ValueAtQuantile(quantile)) * time.Microsecond
}

// ChatQuantile returns the time to the first token at a quantile between 0 and 100,
// over the classes ClassFirst and ClassReturn together.
func (r *Report) ChatQuantile(quantile float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	merged := newHistogram()
	merged.Merge(r.class(ClassFirst).latencies)
	merged.Merge(r.class(ClassReturn).latencies)
	return time.Duration(merged.ValueAtQuantile(quantile)) * time.Microsecond
}

// GapQuantile returns the time between tokens at a quantile between 0 and 100.
func (r *Report) GapQuantile(quantile float64) time.Duration {
	return time.Duration(r.gaps.ValueAtQuantile(quantile)) * time.Microsecond
}

// Recomputed returns the share of the prompt tokens of a class that were not cached,
// so that engines computed them.
func (r *Report) Recomputed(class Class) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.class(class)
	if counts.promptTokens == 0 {
		return 0
	}
	return float64(counts.computedTokens) / float64(counts.promptTokens)
}

// Counts returns how many requests of a class were answered, refused and failed.
func (r *Report) Counts(class Class) (answered, refused, failed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.class(class)
	return counts.answered, counts.refused, counts.failed
}

// String returns the report as a text table.
func (r *Report) String() string {
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tanswered\trefused\tfailed\tp50\tp95\tp99\trecomputed\t")
	for _, class := range classOrder {
		answered, refused, failed := r.Counts(class)
		if answered+refused+failed == 0 {
			continue
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\t%s\t%s\t%.1f%%\t\n", class, answered, refused, failed,
			roundDuration(r.Quantile(class, 50)), roundDuration(r.Quantile(class, 95)), roundDuration(r.Quantile(class, 99)), 100*r.Recomputed(class))
	}
	_ = table.Flush()
	fmt.Fprintf(&text, "chat (first visits and returns): p50 %s, p95 %s, p99 %s\n", roundDuration(r.ChatQuantile(50)), roundDuration(r.ChatQuantile(95)), roundDuration(r.ChatQuantile(99)))
	fmt.Fprintf(&text, "between tokens: p50 %s, p95 %s\n", roundDuration(r.GapQuantile(50)), roundDuration(r.GapQuantile(95)))
	for reason, n := range r.errors {
		fmt.Fprintf(&text, "  %d x %s\n", n, reason)
	}
	return text.String()
}

func roundDuration(d time.Duration) string {
	if d < 10*time.Millisecond {
		return d.Round(10 * time.Microsecond).String()
	}
	return d.Round(time.Millisecond).String()
}
