package demo

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/standin/callersim"
)

// Report is what a run measured.
type Report struct {
	Example string
	Sent    int
	// Answered, Wrong, Lost and Unknown count the final results of chats and orders.
	// Unknown is the end that the fleet gives to an order that the kill cut off.
	Answered, Wrong, Lost, Unknown int
	// NotRun counts refusals, CutByKill results that the killed instance broke, and CutOff
	// results that broke without it. The callers sent all of these again.
	NotRun, CutByKill, CutOff int
	// DoubledOrders are orders with more than one effect, PhantomOrders orders that were
	// answered without an effect, and DifferingOrders orders sent twice with two answers.
	DoubledOrders, PhantomOrders, DifferingOrders int
	DoubledSends                                  int
	// DoubledChats are requests that engines finished more than once.
	DoubledChats int
	// Returns are chats with a known prefix, Reused those that found all of it cached.
	Returns, Reused int
	// CachedShare is the share of prompt tokens of returns that was cached.
	CachedShare float64
	// Skew of the requests in flight per unit of capacity, over all samples.
	Samples, Rises, OverBound       int
	TakeoverRises, TakeoverOver     int
	OverTakeover                    int
	MeanRatio, MaxRatio, MeanCV     float64
	StoppedEngine                   string
	CutByStop, RunsAfterStop        int
	Usage                           usage
	MetricsError                    string
	PlatformPeakReads, PlatformPeak int
	Elapsed                         time.Duration
	Details                         []string
}

// Failed reports whether anything was wrong, lost, doubled or cut off without a reason.
func (r *Report) Failed() bool {
	return r.Wrong+r.Lost+r.CutOff+r.CutByStop+r.DoubledOrders+r.PhantomOrders+r.DifferingOrders > 0
}

// fill takes the results from the tally and the stand-ins' logs.
func (r *run) fill() {
	p, t, s := &r.report, &r.traffic.tally, &r.skew
	p.Example, p.Sent = r.example.Name, r.options.Plan.total()
	p.Answered, p.Wrong, p.Lost, p.Unknown = t.answered, t.wrong, t.lost, t.unknown
	p.NotRun, p.CutByKill, p.CutOff = t.refused, t.cutByKill, t.cutOff
	p.DoubledSends, p.DifferingOrders = t.doubledSends, t.differing
	p.Returns, p.Reused = t.returns, t.reused
	p.CachedShare = float64(t.cachedToks) / float64(max(t.promptTokens, 1))
	p.Samples, p.Rises, p.OverBound, p.MaxRatio = s.samples, s.rises, s.overBound, s.maxRatio
	p.TakeoverRises, p.TakeoverOver, p.OverTakeover = s.inTakeover, s.overInTakeover, s.overTakeover
	p.MeanRatio = s.sumRatio / float64(max(s.samples, 1))
	p.MeanCV = s.sumCV / float64(max(s.samples, 1))
	peaks := r.world.Store.Peaks()
	p.PlatformPeakReads, p.PlatformPeak = peaks.Reads, peaks.Writes
	p.Details = t.details
	r.fillOrders()
	p.DoubledChats = r.doubledChats()
}

// fillOrders compares the ends of orders with the effects that the services recorded.
func (r *run) fillOrders() {
	effects := map[string]int{}
	for _, service := range r.world.Services {
		for key, count := range service.Log().Counts {
			effects[key] += count
		}
	}
	for key, kind := range r.traffic.orders {
		if effects[key] > 1 {
			r.report.DoubledOrders++
		}
		if kind == callersim.OK && effects[key] == 0 {
			r.report.PhantomOrders++
		}
	}
}

func (r *run) doubledChats() int {
	finished := map[string]int{}
	for _, engine := range r.world.Engines {
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
		r.DoubledOrders, r.PhantomOrders, r.DoubledSends, r.DifferingOrders)
	line("  chats finished by more than one run %d", r.DoubledChats)
	line("  cache reuse: %d of %d returns (%.1f%%), %.1f%% of their prompt tokens",
		r.Reused, r.Returns, 100*float64(r.Reused)/float64(max(r.Returns, 1)), 100*r.CachedShare)
	line("  skew per capacity: max/mean %.2f on average, %.2f at most, CV %.2f, over %d samples",
		r.MeanRatio, r.MaxRatio, r.MeanCV, r.Samples)
	line("  load bound: %d of %d rises of an engine's load went above it, %d of %d in the takeover after the kill, %d above the takeover share",
		r.OverBound-r.TakeoverOver, r.Rises-r.TakeoverRises, r.TakeoverOver, r.TakeoverRises, r.OverTakeover)
	line("  stopped %s: cut off %d, new runs later than 3 s %d", r.StoppedEngine, r.CutByStop, r.RunsAfterStop)
	r.writeUsage(line)
	line("  platform: at most %d reads/s and %d writes/s", r.PlatformPeakReads, r.PlatformPeak)
	for _, detail := range r.Details {
		line("  ! %s", detail)
	}
}

// writeUsage writes what the instances' own metrics say.
func (r *Report) writeUsage(line func(format string, values ...any)) {
	u := &r.Usage
	if len(u.sent) == 0 {
		line("  control bytes/s per instance: not measured: %s", r.MetricsError)
		return
	}
	line("  control bytes/s per instance: sent %s, received %s, of %d instances", spread(u.sent), spread(u.received), len(u.sent))
	line("    sent: %s", u.largest("sent"))
	line("    received: %s", u.largest("received"))
	line("  placement: %d on the first choice, %d on a later one; %d redirects, %d queued, %d retries, %d admit timeouts",
		u.counter("first_choice_grants"), u.counter("overflow_grants"), u.counter("redirects"), u.counter("queued"),
		u.counter("retries"), u.counter("admit_timeouts"))
}

func spread(rates []float64) string {
	sum := 0.0
	for _, rate := range rates {
		sum += rate
	}
	return fmt.Sprintf("%.0f on average and %.0f at most", sum/float64(len(rates)), slices.Max(rates))
}
