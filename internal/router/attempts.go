package router

import (
	"time"

	"github.com/bilberrywell/bilberrywell/placement"
)

// attemptAnswered takes the head of an engine's answer.
func (r *Router) attemptAnswered(ev AttemptAnswered) {
	c := r.calls[ev.Call]
	if c == nil {
		return
	}
	r.loadReported(c, ev.Load)
	if pool := r.pools[c.service]; pool != nil && c.route.Affinity {
		pool.engines.Answered(r.now, c.engine, uint64(c.Prompt))
		if c.reason != placement.Warm {
			r.members.tellPrompt(uint64(c.Prompt), c.engine)
		}
	}
}

func (r *Router) loadReported(c *call, load *placement.Load) {
	if pool := r.pools[c.service]; pool != nil && load != nil {
		pool.engines.Reported(r.now, c.engine, *load)
	}
}

// attemptEnded decides what follows an attempt.
func (r *Router) attemptEnded(ev AttemptEnded) {
	c := r.calls[ev.Call]
	if c == nil {
		return
	}
	c.delivered = c.delivered || ev.Delivered
	if pool := r.pools[c.service]; pool != nil {
		pool.engines.Ended(c.engine)
	}
	r.loadReported(c, ev.Load)
	r.countAttempt(c, ev.Outcome)
	r.judge(c, ev)
	r.emit(AttemptDone{Kind: c.route.Kind, Outcome: ev.Outcome, Reason: c.reason, Try: len(c.tried) + 1, FirstByte: ev.FirstByte,
		Waited: c.sentAt - c.Arrived, Fetched: c.fetched})
	r.note(c, "attempt_ended", "engine", c.engine, "outcome", ev.Outcome.String(), "detail", ev.Detail,
		"ms", (r.now - c.sentAt).Milliseconds(), "first_byte_ms", ev.FirstByte.Milliseconds(), "delivered", c.delivered, "failed", ev.Failed)
	c.tried = append(c.tried, c.engine)
	switch ev.Outcome {
	case Completed, CallerLeft:
		r.release(c, ev.Outcome.String())
	case TimedOut:
		r.timedOut(c)
	case Unsent, Rejected, Misdirected:
		r.repeatOr(c, func() { r.giveUp(c, ev.Outcome.String()) })
	case Errored:
		c.held = c.engine
		r.repeatOr(c, func() { r.deliver(c) })
	case Broken, Stalled:
		r.repeatOr(c, func() { r.refuse(c, MayHaveRun, "engine_lost", 0) })
	}
}

func (r *Router) countAttempt(c *call, o Outcome) {
	switch o {
	case Unsent:
	case Rejected, Misdirected:
		c.arrivals++
	default:
		c.arrivals++
		c.runs++
	}
}

// timedOut gives the final answer when the time for a request has ended.
func (r *Router) timedOut(c *call) {
	if c.runs == 0 {
		r.refuse(c, NotRun, "timed_out", 0)
		return
	}
	r.refuse(c, TooLate, "timed_out", 0)
}

// repeatOr sends a request to another engine if that is allowed, and otherwise ends it.
func (r *Router) repeatOr(c *call, end func()) {
	if !r.mayRepeat(c, 0) {
		end()
		return
	}
	if c.runs > 0 && r.quarantined(c) {
		end()
		return
	}
	// An engine's failure that is held back is a better answer than a refusal.
	if pool := r.pools[c.service]; pool == nil || c.runs > 0 && pool.budget.Left(r.now) < 1 {
		end()
		return
	}
	r.place(c)
}

// mayRepeat reports whether the request may be sent once more after pending attempts that may run.
func (r *Router) mayRepeat(c *call, pending int) bool {
	runs := c.runs + pending
	switch {
	case r.now+minTimeToRepeat >= c.until || len(c.tried)+pending >= maxTries:
		return false
	case runs == 0:
		return true
	case !c.route.Repeatable():
		return false
	}
	return runs < c.route.MaxAttempts
}

// deliver passes on the engine's own failure.
func (r *Router) deliver(c *call) {
	r.emit(Deliver{Call: c.ID})
	r.done(c, Errored.String())
}

// judge turns an attempt's end into evidence about its engine.
func (r *Router) judge(c *call, ev AttemptEnded) {
	pool := r.pools[c.service]
	if pool == nil {
		return
	}
	stats := r.statsOf(c.route.Name)
	switch ev.Outcome {
	case Completed:
		r.absolve(c)
		if ev.Failed {
			r.engineFailed(c, pool, placement.Errored, stats)
			return
		}
		stats.succeeded(r.now, ev.FirstByte)
		pool.engines.Succeeded(r.now, c.engine, ev.FirstByte, stats.latency)
	case Unsent:
		r.engineUnreachable(c.engine)
	case Rejected:
		pool.engines.Failed(r.now, c.engine, placement.Shed, 0)
	case Misdirected:
		r.expel(c.engine)
	case Errored:
		r.engineFailed(c, pool, placement.Errored, stats)
	case Broken:
		r.engineFailed(c, pool, placement.Broke, stats)
		r.suspect(c)
	case Stalled:
		r.engineFailed(c, pool, placement.Silent, stats)
	case TimedOut:
		if ev.FirstByte == 0 {
			r.engineFailed(c, pool, placement.Silent, stats)
		}
	}
}

func (r *Router) engineFailed(c *call, pool *servicePool, f placement.Failure, stats *routeStats) {
	usual := stats.failed(r.now)
	if pool.engines.Failed(r.now, c.engine, f, usual) {
		r.emit(Note{Kind: "engine_paused", Fields: []any{"engine", c.engine, "failure", f.String(), "usual", usual}})
	}
}

// routeStats is what is usual for the requests of a route.
type routeStats struct {
	answers, failures float64
	at                time.Duration
	// latency is the mean time to the first byte.
	latency time.Duration
}

const (
	// statsHalfLife is the time in which counts of a route's answers lose half of their weight.
	statsHalfLife = 10 * time.Second
	// latencyWeight is the weight of one answer in a route's mean latency.
	latencyWeight = 0.05
	// priorAnswers keeps the first failures of a route from looking usual.
	priorAnswers = 10
)

func (r *Router) statsOf(route string) *routeStats {
	s := r.routes[route]
	if s == nil {
		s = &routeStats{}
		r.routes[route] = s
	}
	return s
}

func (s *routeStats) succeeded(now, latency time.Duration) {
	s.decay(now)
	s.answers++
	if s.latency == 0 {
		s.latency = latency
	}
	s.latency += time.Duration(latencyWeight * float64(latency-s.latency))
}

// failed notes a failure and returns the share of failures before it.
func (s *routeStats) failed(now time.Duration) float64 {
	s.decay(now)
	usual := s.failures / (s.answers + priorAnswers)
	s.answers++
	s.failures++
	return usual
}

func (s *routeStats) decay(now time.Duration) {
	if now-s.at < time.Second {
		return
	}
	f := halves(now-s.at, statsHalfLife)
	s.answers *= f
	s.failures *= f
	s.at = now
}
