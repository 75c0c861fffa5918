package core

import (
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/quarantine"
)

// attemptEnded handles the end of an attempt. It ignores and counts the end of an attempt
// that is not the request's current one.
func (c *Core) attemptEnded(ev AttemptEnded) {
	r := c.entry.requests[ev.Request]
	if r == nil || r.attempt != ev.Attempt || r.stage != stageRun {
		c.count(CounterLateReplies, 1)
		return
	}
	r.delivered = r.delivered || ev.Delivered
	c.releaseAttempt(r, c.releaseResult(ev.Result), ev.CacheHit)
	if c.attemptInterrupted(r, ev.Result) {
		return
	}
	switch ev.Result {
	case wire.ResultComplete:
		c.attemptComplete(r, ev)
	case wire.ResultCanceled:
		c.endClaim(r, wire.ClaimEndUnknown)
		c.count(CounterCanceled, 1)
		c.endRequest(r, "canceled")
	case wire.ResultNotRun:
		c.attemptNotRun(r)
	case wire.ResultBroken, wire.ResultStalled:
		c.attemptLost(r, ev)
	}
}

// releaseResult returns the result that the home of an engine is told. After the drain deadline a broken attempt says
// nothing of its engine.
func (c *Core) releaseResult(result wire.Result) wire.Result {
	if c.drain.ending && result == wire.ResultBroken {
		return wire.ResultCanceled
	}
	return result
}

func (c *Core) attemptComplete(r *request, ev AttemptEnded) {
	c.count(CounterComplete, 1)
	if ev.CacheHit {
		c.count(CounterCacheHits, 1)
	}
	c.recordOutcome(r, ev.Outcome)
	c.endRequest(r, "complete")
}

// attemptNotRun tries another engine after a refusal or a failed dial.
func (c *Core) attemptNotRun(r *request) {
	r.excludedEngines = append(r.excludedEngines, r.engine.ID)
	if !c.takeRetry() {
		c.failRequest(r, FailureNotRun, CodeEngineRefused, "the engine refused the request or could not be reached", overloadRetryAfter)
		return
	}
	c.startAdmission(r)
}

// attemptLost handles an attempt that broke off or stalled: the request may have run.
func (c *Core) attemptLost(r *request, ev AttemptEnded) {
	r.lostAttempts++
	r.excludedEngines = append(r.excludedEngines, r.engine.ID)
	if r.call.NonIdempotent {
		c.endClaim(r, wire.ClaimEndUnknown)
		c.failRequest(r, FailureUnknown, CodeOutcomeUnknown, "the call may have run; send it again with the same key to learn its outcome", 0)
		return
	}
	if r.lostAttempts >= maxLostAttempts || !c.canRetry(r, ev) || !c.takeRetry() {
		c.pauseRequest(r, strikePropagationDelay, thenFail)
		return
	}
	c.pauseRequest(r, strikePropagationDelay, thenRetry)
}

// canRetry reports whether the answer can be started again, or resumed if a part of it was
// delivered.
func (c *Core) canRetry(r *request, ev AttemptEnded) bool {
	if !r.delivered {
		return true
	}
	return ev.Resumable && r.service.Resume
}

// retryLost starts another attempt of a request after a lost one, unless its fingerprint has
// been quarantined meanwhile.
func (c *Core) retryLost(r *request) {
	if c.isQuarantined(r) {
		c.failLost(r)
		return
	}
	if r.delivered {
		r.resume = true
		c.count(CounterResumed, 1)
	}
	c.startAdmission(r)
}

func (c *Core) isQuarantined(r *request) bool {
	return c.quarantine.Check(c.mono(), r.call.Fingerprint).State == quarantine.Quarantined
}

// failLost fails a request whose attempt was lost with its engine.
func (c *Core) failLost(r *request) {
	switch {
	case c.isQuarantined(r):
		c.failRequest(r, FailureFailed, CodeQuarantined, quarantineMessage, 0)
	case r.delivered:
		c.failRequest(r, FailureFailed, CodeStreamLost, "the stream was lost and could not be resumed", overloadRetryAfter)
	default:
		c.failRequest(r, FailureUnknown, CodeEngineLost, "the engine was lost while it ran the request", overloadRetryAfter)
	}
}

// takeRetry takes one retry from the instance's retry budget and reports whether there was one.
func (c *Core) takeRetry() bool {
	if !c.retryBudget.Allow() {
		c.count(CounterRetriesDenied, 1)
		return false
	}
	c.count(CounterRetries, 1)
	return true
}
