package router

import "time"

// drainState is the state of a requested stop.
type drainState struct {
	active   bool
	since    time.Duration
	closed   bool
	reported bool
}

func (r *Router) drainRequested() {
	if r.drain.active {
		return
	}
	r.drain.active = true
	r.drain.since = r.now
	r.emit(Note{Kind: "draining", Fields: []any{"calls", len(r.calls)}})
	r.updateReady()
	r.sendStanding("")
}

// tickDrain stops taking requests once the balancer has noticed, and reports the end of the
// drain when the requests taken until then are answered. Without the first step callers with open
// connections would keep sending until the process is killed.
func (r *Router) tickDrain() {
	if !r.drain.active || r.drain.reported || r.now-r.drain.since < r.cfg.DrainWait {
		return
	}
	if !r.drain.closed {
		r.drain.closed = true
		r.emit(StopAccepting{})
		r.emit(Note{Kind: "stopped_accepting", Fields: []any{"calls", len(r.calls)}})
	}
	if len(r.calls) > 0 {
		return
	}
	r.drain.reported = true
	r.emit(Note{Kind: "drained"})
	r.emit(Drained{})
}
