package router

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/placement"
	"github.com/bilberrywell/bilberrywell/routing"
)

// Effect is an output of the reducer, carried out by the shell.
type Effect interface{ effect() }

// Command is an effect that tells a request's own goroutine what to do next.
type Command interface {
	Effect
	Target() CallID
}

// Send forwards a request to an engine.
type Send struct {
	Call   CallID
	Engine placement.Engine
	Route  *routing.Route
	// Customer is empty on anonymous routes.
	Customer fleet.CustomerID
	// Urgency ranks the request at its engine; 0 is the most urgent.
	Urgency int
	// FetchFrom is an engine that holds the prompt's cache, or empty.
	FetchFrom string
	// IdleShare is the part of the engine's connections that this instance may keep idle; 0 without
	// a limit. It may be below one.
	IdleShare float64
	// Until is when the request must have its final answer.
	Until time.Duration
	// HoldFailure asks that an engine's failure is held back: another attempt may follow.
	HoldFailure bool
	// Resume asks the engine to go on after the last delivered event.
	Resume bool
	// FirstWithin and NextWithin are the longest waits for the head of the answer and between its
	// parts, after which the attempt ends as Stalled; 0 waits until Until.
	FirstWithin time.Duration
	NextWithin  time.Duration
}

// Refusal is the kind of a final answer without an engine's.
type Refusal uint8

// Refusals.
const (
	// NotRun: the request has not run and never will.
	NotRun Refusal = iota + 1
	// MayHaveRun: an engine was lost while it had the request.
	MayHaveRun
	// TooLate: the time for the request ended while an engine had it.
	TooLate
	// UnknownKey: no customer holds the API key.
	UnknownKey
	// UnknownRoute: no route matches.
	UnknownRoute
)

// Refuse ends a request with a final answer of the instance's own, or by breaking off an answer
// that has begun.
type Refuse struct {
	Call    CallID
	Refusal Refusal
	// Code is a stable word such as "no_engine".
	Code string
	// RetryAfter tells when the request is worth sending again; 0 gives no hint.
	RetryAfter time.Duration
}

// Deliver passes on the engine's failure that was held back.
type Deliver struct{ Call CallID }

// Release ends a request without an answer: its caller has left or has its answer.
type Release struct{ Call CallID }

// Target implements Command.
func (e Send) Target() CallID { return e.Call }

// Target implements Command.
func (e Refuse) Target() CallID { return e.Call }

// Target implements Command.
func (e Deliver) Target() CallID { return e.Call }

// Target implements Command.
func (e Release) Target() CallID { return e.Call }

// CheckEngine opens a connection to an engine that broke one off.
type CheckEngine struct {
	Engine fleet.EngineID
	Addr   string
}

// EngineGone closes idle connections to an engine's address.
type EngineGone struct{ Addr string }

// ConfigInForce announces the configuration that new requests follow.
type ConfigInForce struct{ Table *routing.Table }

// SetReady tells the balancer whether the instance takes callers.
type SetReady struct{ Ready bool }

// WatchStore starts or stops reading changes from the store.
type WatchStore struct {
	On bool
	// Pause is the least time between two calls for changes.
	Pause time.Duration
}

// SendToMany sends one message to several instances. It is encoded once.
type SendToMany struct {
	To      []fleet.InstanceID
	Message wire.Message
}

// SendMessage sends a message to an instance.
type SendMessage struct {
	To      fleet.InstanceID
	Message wire.Message
}

// SetPeers replaces the set of instances to hold links with.
type SetPeers struct{ Peers []PeerTarget }

// PeerTarget is an instance to hold a link with.
type PeerTarget struct {
	ID   fleet.InstanceID
	Addr string
	// Dial tells that this side opens the link.
	Dial bool
}

// StopAccepting closes the listener for callers and their idle connections.
type StopAccepting struct{}

// Drained reports that a requested stop can end.
type Drained struct{}

// Note is a decision for the log and the counters.
type Note struct {
	// Kind is a stable word such as "attempt_sent".
	Kind string
	// Label is the caller's id of the request, if the decision is about one.
	Label string
	// Fields are pairs of a name and a value.
	Fields []any
}

// CallDone counts a request that has ended.
type CallDone struct {
	// Kind is 0 for a request without a route.
	Kind routing.Kind
	// Result is the outcome of the last attempt, or the code of the refusal.
	Result string
	// Took is the time since the request's header was read.
	Took time.Duration
}

// AttemptDone counts an attempt that has ended.
type AttemptDone struct {
	Kind    routing.Kind
	Outcome Outcome
	// Reason is why its engine was chosen, and Try counts from 1.
	Reason placement.Reason
	Try    int
	// FirstByte is the time to the head of the answer; 0 without one.
	FirstByte time.Duration
	// Waited is the time from the request's arrival until the attempt was sent.
	Waited time.Duration
	// Fetched tells that the engine was to fetch the prompt's cache from another one.
	Fetched bool
}

func (CallDone) effect()      {}
func (AttemptDone) effect()   {}
func (Send) effect()          {}
func (Refuse) effect()        {}
func (Deliver) effect()       {}
func (Release) effect()       {}
func (CheckEngine) effect()   {}
func (EngineGone) effect()    {}
func (ConfigInForce) effect() {}
func (SetReady) effect()      {}
func (WatchStore) effect()    {}
func (SendMessage) effect()   {}
func (SendToMany) effect()    {}
func (SetPeers) effect()      {}
func (StopAccepting) effect() {}
func (Drained) effect()       {}
func (Note) effect()          {}
