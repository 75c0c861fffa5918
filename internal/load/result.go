package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bilberrywell/bilberrywell/internal/standin/callersim"
)

const (
	// maxLatency is the highest latency that is told apart; higher ones count as this.
	maxLatency = 2 * time.Minute
	// digits is the number of significant digits of a recorded latency.
	digits = 3
)

// Result is what one target did.
type Result struct {
	Name string
	// Recorded is the time over which requests were recorded.
	Recorded time.Duration
	// Kinds counts the ends of requests.
	Kinds map[callersim.Kind]int
	// FirstToken and Whole are the latencies of chats, Orders those of orders, in microseconds.
	FirstToken, Whole, Orders *hdrhistogram.Histogram
	// PromptTokens and CachedTokens sum up the usage of chats.
	PromptTokens, CachedTokens int
	// Example is one error, for the report.
	Example string
	mu      sync.Mutex
}

func newResult(name string) *Result {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), digits)
	}
	return &Result{
		Name: name, Kinds: map[callersim.Kind]int{},
		FirstToken: histogram(), Whole: histogram(), Orders: histogram(),
	}
}

func record(h *hdrhistogram.Histogram, latency time.Duration) {
	_ = h.RecordValue(min(max(latency.Microseconds(), 1), maxLatency.Microseconds()))
}

func (r *Result) chat(result callersim.ChatResult, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.end(result.Kind, result.Detail) {
		return
	}
	record(r.FirstToken, late+result.FirstToken)
	record(r.Whole, late+result.Total)
	r.PromptTokens += result.Usage.PromptTokens
	r.CachedTokens += result.Usage.PromptTokensDetails.CachedTokens
}

func (r *Result) order(result callersim.CallResult, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end(result.Kind, result.Detail) {
		record(r.Orders, late+result.Total)
	}
}

// end counts the end of a request and reports whether it was answered.
func (r *Result) end(kind callersim.Kind, detail string) bool {
	r.Kinds[kind]++
	if kind != callersim.OK && r.Example == "" {
		r.Example = string(kind) + ": " + detail
	}
	return kind == callersim.OK
}

// Errors returns the number of requests without a whole answer.
func (r *Result) Errors() int {
	sum := 0
	for kind, count := range r.Kinds {
		if kind != callersim.OK {
			sum += count
		}
	}
	return sum
}

// PerSecond returns the answered requests per second.
func (r *Result) PerSecond() float64 {
	return float64(r.Kinds[callersim.OK]) / r.Recorded.Seconds()
}

// Write writes the result as text.
func (r *Result) Write(w io.Writer) {
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(w, format+"\n", values...) }
	line("%s: %.1f requests/s answered over %.1f s, errors %d", r.Name, r.PerSecond(), r.Recorded.Seconds(), r.Errors())
	for _, kind := range slices.Sorted(maps.Keys(r.Kinds)) {
		line("  %s %d", kind, r.Kinds[kind])
	}
	if r.Example != "" {
		line("  first error: %s", r.Example)
	}
	line("  first token  %s", quantiles(r.FirstToken))
	line("  whole answer %s", quantiles(r.Whole))
	if r.Orders.TotalCount() > 0 {
		line("  order        %s", quantiles(r.Orders))
	}
	line("  prompt tokens cached %.1f%%", 100*float64(r.CachedTokens)/float64(max(r.PromptTokens, 1)))
}

func quantiles(h *hdrhistogram.Histogram) string {
	return fmt.Sprintf("p50 %.3f ms, p99 %.3f ms, max %.3f ms, n %d",
		quantile(h, 50), quantile(h, 99), float64(h.Max())/1000, h.TotalCount())
}

// quantile returns a quantile in milliseconds.
func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

// WriteComparison writes how other differs from base: ratios and added times.
func WriteComparison(w io.Writer, base, other *Result) {
	_, _ = fmt.Fprintf(w, "%s against %s\n", other.Name, base.Name)
	rows := []struct {
		name string
		a, b *hdrhistogram.Histogram
	}{
		{"first token ", base.FirstToken, other.FirstToken},
		{"whole answer", base.Whole, other.Whole},
		{"order       ", base.Orders, other.Orders},
	}
	for _, row := range rows {
		if row.a.TotalCount() == 0 || row.b.TotalCount() == 0 {
			continue
		}
		for _, percent := range []float64{50, 99} {
			a, b := quantile(row.a, percent), quantile(row.b, percent)
			_, _ = fmt.Fprintf(w, "  %s p%.0f ratio %.3f, added %.3f ms\n", row.name, percent, b/a, b-a)
		}
	}
	_, _ = fmt.Fprintf(w, "  requests/s   ratio %.3f\n", other.PerSecond()/base.PerSecond())
}
