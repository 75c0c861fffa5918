package demo

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/standin/callersim"
)

// Report holds the results and measurements of a run.
type Report struct {
	Example string
	// Sent is the planned number of chats and orders.
	Sent int
	// Answered, Wrong, Lost and Unknown count the final results of chats and orders. Unknown is
	// the result that the fleet returns for an order that was interrupted by the kill.
	Answered, Wrong, Lost, Unknown int
	// NotRun counts refused requests, CutByKill requests that failed at the killed instance, and
	// CutOff requests that failed otherwise. The callers sent all of these again.
	NotRun, CutByKill, CutOff int
	// DoubledOrders counts orders with more than one effect, OrdersWithoutEffect orders that were
	// answered without an effect, and DifferingOrders orders that were sent twice and got two
	// different answers.
	DoubledOrders, OrdersWithoutEffect, DifferingOrders int
	OrdersSentTwice                                     int
	// DoubledChats counts chat requests that engines finished more than once.
	DoubledChats int
	// ReturningChats counts chats with a prefix from an earlier turn, FullyCachedChats those of
	// them whose prefix was completely cached.
	ReturningChats, FullyCachedChats int
	// CachedTokenShare is the share of the prompt tokens of returning chats that was cached.
	CachedTokenShare float64
	// The next fields measure the skew of the engines' requests in flight per unit of capacity, over
	// all samples. See skewSampler for the increases of an engine's load.
	SkewSamples, LoadIncreases, IncreasesOverBound int
	TakeoverIncreases, TakeoverIncreasesOverBound  int
	IncreasesOverTakeoverShare                     int
	// MeanRatio and MaxRatio are the mean and the maximum of the ratio of the highest load to the mean
	// load in a sample. MeanCV is the mean coefficient of variation of the loads.
	MeanRatio, MaxRatio, MeanCV float64
	// CutByStop counts the runs on StoppedEngine that ended before the answer was complete, and
	// RunsAfterStop those that started later than stopLimit after its planned stop.
	StoppedEngine                         string
	CutByStop, RunsAfterStop              int
	ControlUsage                          controlUsage
	MetricsError                          string
	PlatformPeakReads, PlatformPeakWrites int
	Elapsed                               time.Duration
	Details                               []string
}

// Failed reports whether an answer was wrong or lost, a request was cut off other than at the killed
// instance, or an order ran twice, had no effect or got two different answers.
func (r *Report) Failed() bool {
	return r.Wrong+r.Lost+r.CutOff+r.CutByStop+r.DoubledOrders+r.OrdersWithoutEffect+r.DifferingOrders > 0
}

// fillReport fills in the results from the tally, the skew sampler and the stand-ins' logs.
func (r *run) fillReport() {
	p, t, s := &r.report, &r.traffic.tally, &r.skew
	p.Example, p.Sent = r.example.Name, r.options.Plan.total()
	p.Answered, p.Wrong, p.Lost, p.Unknown = t.answered, t.wrong, t.lost, t.unknown
	p.NotRun, p.CutByKill, p.CutOff = t.refused, t.cutByKill, t.cutOff
	p.OrdersSentTwice, p.DifferingOrders = t.ordersSentTwice, t.differingOrders
	p.ReturningChats, p.FullyCachedChats = t.returningChats, t.fullyCachedChats
	p.CachedTokenShare = float64(t.cachedTokens) / float64(max(t.promptTokens, 1))
	p.SkewSamples, p.LoadIncreases, p.IncreasesOverBound, p.MaxRatio = s.samples, s.increases, s.increasesOverBound, s.maxRatio
	p.TakeoverIncreases, p.TakeoverIncreasesOverBound, p.IncreasesOverTakeoverShare = s.takeoverIncreases, s.takeoverIncreasesOverBound, s.increasesOverTakeoverShare
	p.MeanRatio = s.sumRatio / float64(max(s.samples, 1))
	p.MeanCV = s.sumCV / float64(max(s.samples, 1))
	peaks := r.standIns.Store.Peaks()
	p.PlatformPeakReads, p.PlatformPeakWrites = peaks.Reads, peaks.Writes
	p.Details = t.details
	r.fillOrderEffects()
	p.DoubledChats = r.doubledChats()
}

// fillOrderEffects compares the results of orders with the effects that the services recorded.
func (r *run) fillOrderEffects() {
	effects := map[string]int{}
	for _, service := range r.standIns.Services {
		for key, count := range service.Log().Counts {
			effects[key] += count
		}
	}
	for key, kind := range r.traffic.orderKinds {
		if effects[key] > 1 {
			r.report.DoubledOrders++
		}
		if kind == callersim.Complete && effects[key] == 0 {
			r.report.OrdersWithoutEffect++
		}
	}
}

func (r *run) doubledChats() int {
	finished := map[string]int{}
	for _, engine := range r.standIns.Engines {
		for _, entry := range engine.Log() {
			if entry.Finished {
				finished[entry.Request]++
			}
		}
	}
	doubled := 0
	for _, count := range finished {
		if count > 1 {
			doubled++
		}
	}
	return doubled
}

// Write writes the report as text.
func (r *Report) Write(w io.Writer) {
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(w, format+"\n", values...) }
	line("%s: %d chats and orders in %.1f s", r.Example, r.Sent, r.Elapsed.Seconds())
	line("  answered %d, wrong %d, lost %d, unknown %d", r.Answered, r.Wrong, r.Lost, r.Unknown)
	line("  sent again: %d not run, %d cut off by the kill, %d cut off otherwise", r.NotRun, r.CutByKill, r.CutOff)
	line("  orders doubled %d, without effect %d, sent twice %d with %d differing answers",
		r.DoubledOrders, r.OrdersWithoutEffect, r.OrdersSentTwice, r.DifferingOrders)
	line("  chats finished by more than one run %d", r.DoubledChats)
	line("  cache reuse: %d of %d returns (%.1f%%), %.1f%% of their prompt tokens",
		r.FullyCachedChats, r.ReturningChats, 100*float64(r.FullyCachedChats)/float64(max(r.ReturningChats, 1)), 100*r.CachedTokenShare)
	line("  skew per capacity: max/mean %.2f on average, %.2f at most, CV %.2f, over %d samples",
		r.MeanRatio, r.MaxRatio, r.MeanCV, r.SkewSamples)
	line("  load bound: %d of %d rises of an engine's load went above it, %d of %d in the takeover after the kill, %d above the takeover share",
		r.IncreasesOverBound-r.TakeoverIncreasesOverBound, r.LoadIncreases-r.TakeoverIncreases, r.TakeoverIncreasesOverBound, r.TakeoverIncreases, r.IncreasesOverTakeoverShare)
	line("  stopped %s: cut off %d, new runs later than 3 s %d", r.StoppedEngine, r.CutByStop, r.RunsAfterStop)
	r.writeUsage(line)
	line("  platform: at most %d reads/s and %d writes/s", r.PlatformPeakReads, r.PlatformPeakWrites)
	for _, detail := range r.Details {
		line("  ! %s", detail)
	}
}

// writeUsage writes the control traffic and the placement counters from the instances' metrics.
func (r *Report) writeUsage(line func(format string, values ...any)) {
	u := &r.ControlUsage
	if len(u.sent) == 0 {
		line("  control bytes/s per instance: not measured: %s", r.MetricsError)
		return
	}
	line("  control bytes/s per instance: sent %s, received %s, of %d instances", meanAndMax(u.sent), meanAndMax(u.received), len(u.sent))
	line("    sent: %s", u.largestKinds("sent"))
	line("    received: %s", u.largestKinds("received"))
	line("  placement: %d on the first choice, %d on a later one; %d redirects, %d queued, %d retries, %d admit timeouts",
		u.counter("first_choice_grants"), u.counter("overflow_grants"), u.counter("redirects"), u.counter("queued"),
		u.counter("retries"), u.counter("admit_timeouts"))
}

func meanAndMax(rates []float64) string {
	sum := 0.0
	for _, rate := range rates {
		sum += rate
	}
	return fmt.Sprintf("%.0f on average and %.0f at most", sum/float64(len(rates)), slices.Max(rates))
}
