package router

import "time"

// drainState is the state of a requested stop.
type drainState struct {
	active           bool
	requestedAt      time.Duration
	stoppedAccepting bool
	completed        bool
}

func (r *Router) drainRequested() {
	if r.drain.active {
		return
	}
	r.drain.active = true
	r.drain.requestedAt = r.now
	r.emit(Decision{Kind: "draining", Fields: []any{"calls", len(r.calls)}})
	r.updateReady()
	r.sendStatusReport("")
}

// tickDrain stops accepting requests after DrainWait, when the balancer has noticed that the instance
// is not ready, and reports the end of the drain when all accepted requests have ended. If it did not
// stop accepting, callers with open connections would keep sending until the process is killed.
func (r *Router) tickDrain() {
	if !r.drain.active || r.drain.completed || r.now-r.drain.requestedAt < r.cfg.DrainWait {
		return
	}
	if !r.drain.stoppedAccepting {
		r.drain.stoppedAccepting = true
		r.emit(StopAccepting{})
		r.emit(Decision{Kind: "stopped_accepting", Fields: []any{"calls", len(r.calls)}})
	}
	if len(r.calls) > 0 {
		return
	}
	r.drain.completed = true
	r.emit(Decision{Kind: "drained"})
	r.emit(Drained{})
}
