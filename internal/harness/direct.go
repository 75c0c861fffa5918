package harness

import "github.com/bilberrywell/bilberrywell/internal/core"

// NewCall books a call that arrives now at a router other than an instance.
func (h *Harness) NewCall(call core.Call, tokens int) *Call {
	c := &Call{Call: call, Tokens: tokens, Start: h.now, h: h}
	h.Calls = append(h.Calls, c)
	return c
}

// RunOn runs a call on an engine without an instance and calls done at its end. Routers that
// are compared with the fleet use it; the engine must not crash meanwhile.
func (h *Harness) RunOn(e *Engine, c *Call, done func()) {
	r := &run{engine: e, call: c, done: done}
	e.book(r)
	e.serve(r)
}
