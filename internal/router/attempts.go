package router

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/placement"
	"github.com/bilberrywell/bilberrywell/routing"
)

// responseStarted records the load that the engine reports, and that the engine now has the prompt in its
// cache.
func (r *Router) responseStarted(ev ResponseStarted) {
	c := r.calls[ev.Call]
	if c == nil {
		return
	}
	r.recordEngineReport(c, &ev.Report)
	c.reported = true
	if pool := r.pools[c.service]; pool != nil && c.route.Affinity {
		pool.engines.RecordPromptRead(r.now, c.engine, uint64(c.Prompt))
		if c.choiceReason != placement.FirstChoice {
			r.members.reportMovedPrompt(uint64(c.Prompt), c.engine)
		}
	}
}

// recordEngineReport records what an engine said of itself in the header of a response.
func (r *Router) recordEngineReport(c *call, report *EngineReport) {
	if pool := r.pools[c.service]; pool != nil && report.Load != nil {
		pool.engines.RecordLoadReport(r.now, c.engine, *report.Load)
	}
	r.recordRateLimit(c.engine, report)
	r.recordNotices(c, report)
	r.recordWarmUp(c, report)
}

// attemptEnded records the outcome of an attempt and decides whether another one follows.
func (r *Router) attemptEnded(ev AttemptEnded) {
	c := r.calls[ev.Call]
	if c == nil {
		return
	}
	if c.beside != nil && ev.Engine == c.beside.engine {
		older := c.attempt
		c.attempt, c.beside = *c.beside, &older
	}
	r.recordEnd(c, ev)
	// The turn is given when the request itself has been decided.
	defer r.attemptLeft(c.service, c.customer, c.engine, c.counted, ev.Outcome)
	other := c.beside != nil
	if other {
		c.attempt, c.beside = *c.beside, nil
	}
	switch {
	case c.released:
		delete(r.calls, c.ID)
	case !other, ev.Outcome == Completed, ev.Outcome == CallerLeft:
		r.followAttempt(c, ev)
	}
}

// recordEnd records the outcome of an attempt.
func (r *Router) recordEnd(c *call, ev AttemptEnded) {
	c.running = false
	r.recordDelivery(c, ev.Delivered)
	c.endsWithoutID = ev.EndsWithoutID
	c.pool.engines.Ended(c.engine)
	r.recordPace(c.pool, c.engine, ev.EventGap)
	r.readingEnded(c, ev.Outcome)
	if ev.Report != nil && !c.reported {
		r.recordEngineReport(c, ev.Report)
	}
	r.countAttempt(c, ev.Outcome)
	r.recordOutcome(c, ev)
	r.recordAlike(c, ev)
	c.lastFailedAlike = failsAlike(ev)
	r.emit(AttemptDone{Kind: c.route.Kind, Outcome: ev.Outcome, Reason: c.choiceReason, Try: c.try, FirstByte: ev.FirstByte,
		Waited: c.sentAt - c.Arrived, CacheFetch: c.cacheFetch})
	r.logDecision(c, "attempt_ended", "engine", c.engine, "outcome", ev.Outcome.String(), "detail", ev.Detail,
		"ms", (r.now - c.sentAt).Milliseconds(), "first_byte_ms", ev.FirstByte.Milliseconds(), "delivered", c.partDelivered, "failed", ev.Failed,
		"framing", ev.Framing)
	c.triedEngines = append(c.triedEngines, c.engine)
	r.recordRejection(c, ev.Outcome)
	if ev.Outcome == Errored && !ev.Discarded {
		c.heldFrom = c.engine
	}
}

// followAttempt ends a request or sends it again after its only attempt has ended.
func (r *Router) followAttempt(c *call, ev AttemptEnded) {
	lost := func() { r.refuse(c, MayHaveRun, "engine_lost", 0) }
	switch ev.Outcome {
	case Completed, CallerLeft:
		r.release(c, ev.Outcome)
	case TimedOut:
		r.timedOut(c)
	case Unsent, Rejected, Misdirected:
		r.retryOr(c, func() { r.giveUp(c, ev.Outcome.String()) })
	case Errored:
		if ev.Discarded {
			r.retryOr(c, lost)
			return
		}
		r.retryOr(c, func() { r.deliver(c) })
	case Broken, Stalled, Superseded:
		r.retryOr(c, lost)
	case Interrupted:
		r.refuse(c, MayHaveRun, "stopping", 0)
	}
}

func (r *Router) countAttempt(c *call, o Outcome) {
	switch o {
	case Unsent:
		// No engine has got a request, so what was counted serves the next attempt.
		c.retryCounted = c.attemptCounted
	case Rejected, Misdirected:
		c.reachedAttempts++
	default:
		c.reachedAttempts++
		c.possibleRuns++
	}
}

// timedOut refuses a request whose time limit has passed.
func (r *Router) timedOut(c *call) {
	if c.possibleRuns == 0 {
		r.refuse(c, NotRun, "timed_out", 0)
		return
	}
	r.refuse(c, TooLate, "timed_out", 0)
}

// retryOr sends a request to another engine, at once or after a wait, if that is allowed, and otherwise calls end.
func (r *Router) retryOr(c *call, end func()) {
	if !r.canRetry(c) {
		end()
		return
	}
	if !r.delayRetry(c, r.pools[c.service], end) {
		r.place(c)
	}
}

// canRetry reports whether a request may be sent once more now.
func (r *Router) canRetry(c *call) bool {
	if !r.mayRetry(c) {
		return false
	}
	if _, refused := r.poison.detector.Check(r.now, c.traits()); refused {
		return false
	}
	// Once the retry budget is used up, the engine's failure response is delivered if one is held back: that is
	// better than a refusal. With LoadControl, place counts the claim and refuses it with the same result.
	pool := r.pools[c.service]
	return pool != nil && (r.cfg.LoadControl || c.possibleRuns == 0 || c.retryCounted || pool.budget.Remaining(r.now) >= 1)
}

// mayRetry reports whether the request may be sent once more. The attempts under way are counted as if they run.
func (r *Router) mayRetry(c *call) bool {
	pending := c.underWay()
	runs := c.possibleRuns + pending
	switch {
	case c.partDelivered && (c.route.Kind != routing.Streaming || c.endsWithoutID):
		// The caller would take another response for the rest of this one.
		return false
	case c.partDelivered && c.route.ResumableStream() && c.origin == nil:
		// Which of two attempts began the stream is not known yet.
		return false
	case r.now+minRetryTime >= c.deadline || len(c.triedEngines)+pending >= maxTries:
		return false
	case runs == 0:
		return true
	case !c.route.Repeatable():
		return false
	}
	return runs < c.route.MaxAttempts
}

// deliver ends a request with the engine's failure response that is held back.
func (r *Router) deliver(c *call) {
	r.emit(DeliverFailure{Call: c.ID})
	r.finish(c, Errored.String())
}

// recordOutcome updates the health of the engine, the statistics of the route and the crash suspects
// after an attempt.
func (r *Router) recordOutcome(c *call, ev AttemptEnded) {
	pool := r.pools[c.service]
	if pool == nil {
		return
	}
	stats := r.statsOf(c.route.Name)
	switch ev.Outcome {
	case Completed:
		if ev.Failed {
			r.engineFailed(c, pool, placement.Errored, stats)
			return
		}
		r.markAnswered(c)
		stats.succeeded(r.now, ev.FirstByte)
		stats.took.add(r.now - c.Arrived)
		stats.served.add(r.now - c.sentAt)
		pool.engines.Succeeded(r.now, c.engine, ev.FirstByte, stats.meanLatency)
	case Unsent:
		if !r.drainOver() && !ev.NoPath {
			r.engineUnreachable(c.engine)
		}
	case Rejected:
		pool.engines.Failed(r.now, c.engine, placement.Rejected, 0)
	case Misdirected:
		r.expel(c.engine)
	case Errored:
		r.engineFailed(c, pool, placement.Errored, stats)
	case Broken:
		r.engineFailed(c, pool, placement.ConnectionLost, stats)
		r.addSuspect(c, ev.FirstByte)
	case Stalled:
		r.engineFailed(c, pool, placement.NoAnswer, stats)
	case TimedOut:
		if ev.FirstByte == 0 {
			r.engineFailed(c, pool, placement.NoAnswer, stats)
		}
	}
}

// engineFailed records a failure in the statistics of the route and of the engine. The engine is paused
// if it fails far more often than usual: it then gets requests only if no other engine can take them.
func (r *Router) engineFailed(c *call, pool *servicePool, f placement.Failure, stats *routeStats) {
	failureRate := stats.failed(r.now)
	if pool.engines.Failed(r.now, c.engine, f, failureRate) {
		r.emit(Decision{Kind: "engine_paused", Fields: []any{"engine", c.engine, "failure", f.String(), "usual", failureRate}})
	}
}

// routeStats holds the recent failure rate and latency of a route's requests.
type routeStats struct {
	// responses and failures are counts that decay with statsHalfLife; responses includes the failures.
	// decayedAt is when they last decayed.
	responses, failures float64
	decayedAt           time.Duration
	// meanLatency is the mean time to the first byte.
	meanLatency time.Duration
	// took describes the time from arrival to the end of the response, served that from the sending of the last attempt.
	took, served spread
}

const (
	// statsHalfLife is the half-life of the counts of a route's responses.
	statsHalfLife = 10 * time.Second
	// latencyWeight is the weight of one response in a route's mean latency.
	latencyWeight = 0.05
	// priorResponses is added to the number of responses, so that the first failures of a route don't
	// yield a high failure rate.
	priorResponses = 10
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
	s.responses++
	if s.meanLatency == 0 {
		s.meanLatency = latency
	}
	s.meanLatency += time.Duration(latencyWeight * float64(latency-s.meanLatency))
}

// failed records a failure and returns the failure rate before it.
func (s *routeStats) failed(now time.Duration) float64 {
	s.decay(now)
	rate := s.failures / (s.responses + priorResponses)
	s.responses++
	s.failures++
	return rate
}

func (s *routeStats) decay(now time.Duration) {
	if now-s.decayedAt < time.Second {
		return
	}
	f := decayFactor(now-s.decayedAt, statsHalfLife)
	s.responses *= f
	s.failures *= f
	s.decayedAt = now
}

// idleFraction is the fraction of an engine's connections that all instances together may keep idle.
// The rest is for running requests.
const idleFraction = 0.75

// idleShare returns the number of idle connections that this instance may keep to an engine of a
// service, or 0 without a limit. An engine resets connections above its limit, and a request that was
// sent on such a connection may have run.
func (r *Router) idleShare(id fleet.ServiceID) float64 {
	service, ok := r.table.Service(id)
	if !ok || service.MaxConnections <= 0 {
		return 0
	}
	return idleFraction * float64(service.MaxConnections) / float64(len(r.members.linked)+1)
}
