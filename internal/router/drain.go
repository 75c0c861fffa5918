package router

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/routing"
)

// stoppingRetryAfter is the Retry-After of requests that a stopping instance refuses. Callers reach another instance.
const stoppingRetryAfter = 50 * time.Millisecond

// drainState is the state of a requested stop.
type drainState struct {
	active           bool
	requestedAt      time.Duration
	stoppedAccepting bool
	// answering reports whether open requests get their final responses.
	answering bool
	completed bool
}

func (r *Router) drainRequested() {
	if r.drain.active {
		return
	}
	r.drain.active = true
	r.drain.requestedAt = r.now
	r.emit(Decision{Kind: "draining", Fields: []any{"calls", len(r.calls)}})
	r.updateReady()
	r.refuseWaiting("stopping", stoppingRetryAfter)
	r.sendStatusReport("")
}

// tickDrain stops accepting requests after DrainWait, when the balancer has noticed that the instance
// is not ready, and reports the end of the drain when all accepted requests have ended. If it did not
// stop accepting, callers with open connections would keep sending until the process is killed.
func (r *Router) tickDrain() {
	if !r.drain.active || r.now-r.drain.requestedAt < r.cfg.DrainWait {
		return
	}
	if !r.drain.stoppedAccepting {
		r.drain.stoppedAccepting = true
		r.emit(StopAccepting{})
		r.emit(Decision{Kind: "stopped_accepting", Fields: []any{"calls", len(r.calls)}})
	}
	if r.drainOver() {
		r.endCalls()
	}
	if r.drain.completed || len(r.calls) > 0 {
		return
	}
	r.drain.completed = true
	r.emit(Decision{Kind: "drained"})
	r.emit(Drained{})
}

// drainOver reports whether the requests that are still open must get their final responses.
func (r *Router) drainOver() bool {
	return r.drain.active && r.now-r.drain.requestedAt >= r.cfg.DrainLimit
}

// endCalls makes the open requests end with a final response. It is repeated, because an attempt may only just begin.
// Requests without an attempt are refused by their own timers.
func (r *Router) endCalls() {
	if !r.drain.answering {
		r.drain.answering = true
		r.emit(Decision{Kind: "drain_limit_reached", Fields: []any{"calls", len(r.calls)}})
		r.emit(RefuseUnreadCalls{Code: "stopping", RetryAfter: stoppingRetryAfter})
	}
	for _, id := range slices.Sorted(maps.Keys(r.calls)) {
		r.emit(EndUnansweredAttempt{Call: id})
	}
}

// endsInTime reports whether an attempt for a request may begin: while the instance stops, only if the request will
// have its response before DrainLimit. Until DrainWait has passed, callers may have no other instance, and only a
// request that usually takes longer than what is left is refused. After that the request must end by its own deadline
// or, if it may be repeated, nearly always in time. A stream that has begun goes on at another engine for as long as it
// can, since the alternative is to cut it.
func (r *Router) endsInTime(c *call) bool {
	if !r.drain.active {
		return true
	}
	end := r.drain.requestedAt + r.cfg.DrainLimit
	left := end - r.now
	took := &r.statsOf(c.route.Name).took
	switch {
	case left <= 0:
		return false
	case c.partDelivered || c.deadline <= end:
		return true
	case r.now-r.drain.requestedAt < r.cfg.DrainWait:
		return took.usual() <= left
	}
	return c.route.Kind == routing.Idempotent && took.known() && took.atMost() <= left
}
