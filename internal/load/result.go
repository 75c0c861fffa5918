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
	// maxLatency is the highest latency that is recorded. Higher ones are recorded as maxLatency.
	maxLatency = 2 * time.Minute
	// significantDigits is the number of significant digits of a recorded latency.
	significantDigits = 3
)

// Result is the measured result of one target.
type Result struct {
	Name string
	// RecordedTime is the time over which requests were recorded.
	RecordedTime time.Duration
	// CountByKind is the number of requests by the kind of their outcome.
	CountByKind map[callersim.Kind]int
	// FirstTokenLatency and AnswerLatency are the latencies of chats to the first token and to the
	// end of the answer. OrderLatency is the latency of orders. All are in microseconds.
	FirstTokenLatency, AnswerLatency, OrderLatency *hdrhistogram.Histogram
	// PromptTokens and CachedTokens are sums over the usage of chats.
	PromptTokens, CachedTokens int
	// FirstError is the first error, for the report.
	FirstError string
	mu         sync.Mutex
}

func newResult(name string) *Result {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	}
	return &Result{
		Name: name, CountByKind: map[callersim.Kind]int{},
		FirstTokenLatency: histogram(), AnswerLatency: histogram(), OrderLatency: histogram(),
	}
}

func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	_ = h.RecordValue(min(max(latency.Microseconds(), 1), maxLatency.Microseconds()))
}

func (r *Result) addChat(result callersim.ChatResult, sendDelay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.countOutcome(result.Kind, result.Detail) {
		return
	}
	recordLatency(r.FirstTokenLatency, sendDelay+result.FirstToken)
	recordLatency(r.AnswerLatency, sendDelay+result.Total)
	r.PromptTokens += result.Usage.PromptTokens
	r.CachedTokens += result.Usage.PromptTokensDetails.CachedTokens
}

func (r *Result) addOrder(result callersim.CallResult, sendDelay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.countOutcome(result.Kind, result.Detail) {
		recordLatency(r.OrderLatency, sendDelay+result.Total)
	}
}

// countOutcome counts the outcome of a request and reports whether the request was answered.
func (r *Result) countOutcome(kind callersim.Kind, detail string) bool {
	r.CountByKind[kind]++
	if kind != callersim.Complete && r.FirstError == "" {
		r.FirstError = string(kind) + ": " + detail
	}
	return kind == callersim.Complete
}

// Errors returns the number of requests without a complete and correct answer.
func (r *Result) Errors() int {
	sum := 0
	for kind, count := range r.CountByKind {
		if kind != callersim.Complete {
			sum += count
		}
	}
	return sum
}

// PerSecond returns the number of answered requests per second of recorded time.
func (r *Result) PerSecond() float64 {
	return float64(r.CountByKind[callersim.Complete]) / r.RecordedTime.Seconds()
}

// Write writes the result as text.
func (r *Result) Write(w io.Writer) {
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(w, format+"\n", values...) }
	line("%s: %.1f requests/s answered over %.1f s, errors %d", r.Name, r.PerSecond(), r.RecordedTime.Seconds(), r.Errors())
	for _, kind := range slices.Sorted(maps.Keys(r.CountByKind)) {
		line("  %s %d", kind, r.CountByKind[kind])
	}
	if r.FirstError != "" {
		line("  first error: %s", r.FirstError)
	}
	line("  first token  %s", quantiles(r.FirstTokenLatency))
	line("  whole answer %s", quantiles(r.AnswerLatency))
	if r.OrderLatency.TotalCount() > 0 {
		line("  order        %s", quantiles(r.OrderLatency))
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

// WriteComparison writes the ratios of other to base and the times that other adds.
func WriteComparison(w io.Writer, base, other *Result) {
	_, _ = fmt.Fprintf(w, "%s against %s\n", other.Name, base.Name)
	rows := []struct {
		name string
		a, b *hdrhistogram.Histogram
	}{
		{"first token ", base.FirstTokenLatency, other.FirstTokenLatency},
		{"whole answer", base.AnswerLatency, other.AnswerLatency},
		{"order       ", base.OrderLatency, other.OrderLatency},
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
