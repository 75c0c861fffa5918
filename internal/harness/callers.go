package harness

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// Result is how a call ended for its caller.
type Result string

// Results of a call.
const (
	// Pending: the caller still waits.
	Pending Result = ""
	// Complete: a whole answer of an engine.
	Complete Result = "complete"
	// Replayed: the recorded outcome of an earlier call.
	Replayed Result = "replayed"
	// NotRun, Unknown and Failed are the typed failures.
	NotRun  Result = "not_run"
	Unknown Result = "unknown"
	Failed  Result = "failed"
	// ConnectionLost: the entry's process ended.
	ConnectionLost Result = "connection_lost"
)

// Call is one request of a caller.
type Call struct {
	core.Call
	// Key is the idempotency key of a non-idempotent call.
	Key string
	// Tokens is the length of the answer.
	Tokens int
	// Start and End are virtual times. FirstRun is zero until an engine ran the call;
	// FirstToken is when the answer of the latest run from its beginning started.
	Start, End           time.Duration
	FirstRun, FirstToken time.Duration
	Result               Result
	Code                 string
	// Cached tells that the engine that completed the call had its chat's prefix.
	Cached bool
	// Runs counts the runs on engines that this call started.
	Runs int
	// Body is the replayed outcome's body.
	Body []byte

	delivered int
	h         *Harness
}

func (c *Call) remaining() int { return c.Tokens - c.delivered }

// Submit sends a call to an instance.
func (h *Harness) Submit(n *Node, call core.Call, tokens int) *Call {
	c := &Call{Call: call, Tokens: tokens, Start: h.now, h: h}
	if call.NonIdempotent {
		c.Key = call.IdempotencyKey
	}
	h.Calls = append(h.Calls, c)
	if !n.Up {
		c.finish(ConnectionLost)
		return c
	}
	n.lastRequest++
	id := n.lastRequest
	n.requests[id] = c
	n.reply(0, core.RequestArrived{Request: id, Call: call})
	return c
}

// Chat returns the call of a chat.
func Chat(customer fleet.CustomerID, service fleet.ServiceID, conversation string) core.Call {
	return core.Call{
		Customer:    customer,
		Service:     service,
		Chat:        fleet.ChatKeyOf(customer, conversation),
		Fingerprint: fleet.Fingerprint(fleet.Hash(string(customer), conversation)),
	}
}

// Order returns a non-idempotent call.
func Order(customer fleet.CustomerID, service fleet.ServiceID, key string) core.Call {
	return core.Call{
		Customer:       customer,
		Service:        service,
		Chat:           fleet.ChatKey(fleet.Hash("call", string(customer), key)),
		Fingerprint:    fleet.Fingerprint(fleet.Hash("order", key)),
		NonIdempotent:  true,
		IdempotencyKey: key,
	}
}

func (c *Call) finish(result Result) {
	if c.Result != Pending {
		return
	}
	c.Result = result
	c.End = c.h.now
}

func (c *Call) complete(cached bool) {
	c.Cached = cached
	c.finish(Complete)
}

func (c *Call) fail(e core.FailRequest) {
	c.Code = e.Code
	c.finish(Result(e.Kind))
}

func (c *Call) replay(o wire.Outcome) {
	c.Body = o.Body
	c.finish(Replayed)
}

func (c *Call) connectionLost() { c.finish(ConnectionLost) }
