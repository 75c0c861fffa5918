package harness

import "github.com/bilberrywell/bilberrywell/internal/core"

// RecordCall adds a call that arrives now at a router that is not an instance of the fleet.
func (h *Harness) RecordCall(call core.Call, tokens int) *Call {
	c := &Call{Call: call, Tokens: tokens, Start: h.Now(), h: h}
	h.Calls = append(h.Calls, c)
	return c
}

// RunDirect runs a call on an engine without an instance and calls done when it ends. It serves
// the routing policies that the fleet is compared with. The engine must not crash during the run.
func (h *Harness) RunDirect(e *Engine, c *Call, done func()) {
	r := &run{engine: e, call: c, onDone: done}
	e.recordStart(r)
	e.scheduleRun(r)
}
