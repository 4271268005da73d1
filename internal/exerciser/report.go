package exerciser

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

var classOrder = []Class{ClassFirst, ClassReturn, ClassBulk, ClassLookup, ClassOrder}

// Quantile returns a class's time at a quantile between 0 and 100: to the first
// token for prompts, of the whole answer for calls.
func (r *Report) Quantile(class Class, quantile float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.class(class).times.ValueAtQuantile(quantile)) * time.Microsecond
}

// Chat returns the time to the first token of first visits and returns together
// at a quantile.
func (r *Report) Chat(quantile float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	merged := newHistogram()
	merged.Merge(r.class(ClassFirst).times)
	merged.Merge(r.class(ClassReturn).times)
	return time.Duration(merged.ValueAtQuantile(quantile)) * time.Microsecond
}

// Gap returns the time between tokens at a quantile.
func (r *Report) Gap(quantile float64) time.Duration {
	return time.Duration(r.gaps.ValueAtQuantile(quantile)) * time.Microsecond
}

// Recomputed returns the share of a class's prompt tokens that engines computed.
func (r *Report) Recomputed(class Class) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.class(class)
	if held.prompt == 0 {
		return 0
	}
	return float64(held.computed) / float64(held.prompt)
}

// Counts returns how many requests of a class were answered, refused and failed.
func (r *Report) Counts(class Class) (answered, refused, failed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.class(class)
	return held.answered, held.refused, held.failed
}

// String returns the report as a table.
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
			short(r.Quantile(class, 50)), short(r.Quantile(class, 95)), short(r.Quantile(class, 99)), 100*r.Recomputed(class))
	}
	_ = table.Flush()
	fmt.Fprintf(&text, "chat (first visits and returns): p50 %s, p95 %s, p99 %s\n", short(r.Chat(50)), short(r.Chat(95)), short(r.Chat(99)))
	fmt.Fprintf(&text, "between tokens: p50 %s, p95 %s\n", short(r.Gap(50)), short(r.Gap(95)))
	for reason, n := range r.errors {
		fmt.Fprintf(&text, "  %d x %s\n", n, reason)
	}
	return text.String()
}

func short(d time.Duration) string {
	if d < 10*time.Millisecond {
		return d.Round(10 * time.Microsecond).String()
	}
	return d.Round(time.Millisecond).String()
}
