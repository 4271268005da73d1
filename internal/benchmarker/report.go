package benchmarker

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

var reportedClasses = []Class{ClassFirst, ClassReturn, ClassBulk, ClassLookup, ClassOrder}

// Percentile returns a percentile (0 to 100) of the latency of a class: the time to
// the first token for prompts, to the complete answer for calls.
func (r *Report) Percentile(class Class, percentile float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.class(class).latencies.ValueAtQuantile(percentile)) * time.Microsecond
}

// ChatPercentile returns a percentile (0 to 100) of the time to the first token, over
// the classes ClassFirst and ClassReturn together.
func (r *Report) ChatPercentile(percentile float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	merged := newHistogram()
	merged.Merge(r.class(ClassFirst).latencies)
	merged.Merge(r.class(ClassReturn).latencies)
	return time.Duration(merged.ValueAtQuantile(percentile)) * time.Microsecond
}

// GapPercentile returns a percentile (0 to 100) of the time between tokens.
func (r *Report) GapPercentile(percentile float64) time.Duration {
	return time.Duration(r.gaps.ValueAtQuantile(percentile)) * time.Microsecond
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

// Counts returns how many requests of a class were answered, were refused with an HTTP
// status, and failed, that is, got no response or a wrong or incomplete answer.
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
	for _, class := range reportedClasses {
		answered, refused, failed := r.Counts(class)
		if answered+refused+failed == 0 {
			continue
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\t%s\t%s\t%.1f%%\t\n", class, answered, refused, failed,
			roundDuration(r.Percentile(class, 50)), roundDuration(r.Percentile(class, 95)), roundDuration(r.Percentile(class, 99)), 100*r.Recomputed(class))
	}
	_ = table.Flush()
	fmt.Fprintf(&text, "chat (first visits and returns): p50 %s, p95 %s, p99 %s\n", roundDuration(r.ChatPercentile(50)), roundDuration(r.ChatPercentile(95)), roundDuration(r.ChatPercentile(99)))
	fmt.Fprintf(&text, "between tokens: p50 %s, p95 %s\n", roundDuration(r.GapPercentile(50)), roundDuration(r.GapPercentile(95)))
	for reason, n := range r.reasons {
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
