package router

import "time"

// drainState is the state of a requested stop.
type drainState struct {
	active   bool
	since    time.Duration
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

// tickDrain reports the end of a drain: the balancer has noticed and no request is left.
func (r *Router) tickDrain() {
	if !r.drain.active || r.drain.reported || r.now-r.drain.since < r.cfg.DrainWait || len(r.calls) > 0 {
		return
	}
	r.drain.reported = true
	r.emit(Note{Kind: "drained"})
	r.emit(Drained{})
}
