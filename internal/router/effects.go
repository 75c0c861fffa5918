package router

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/placement"
	"github.com/bilberrywell/bilberrywell/routing"
)

// Effect is an output of Step that package gateway executes.
type Effect interface{ effect() }

// Command is an effect that the goroutine of the request executes.
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
	// FetchFrom is the address of an engine that holds the prompt's cache, or empty.
	FetchFrom string
	// IdleShare is the number of idle connections that this instance may keep to the engine; 0 without
	// a limit. It may be below one.
	IdleShare float64
	// Deadline is when the request must have its final response.
	Deadline time.Duration
	// HoldFailure requests that a failure response of the engine is held back, because another attempt
	// may follow.
	HoldFailure bool
	// Resume requests that the engine continues the stream after the last delivered event.
	Resume bool
	// HeaderTimeout and GapTimeout are the waits for the header of the response and between the events of a
	// stream after which AttemptStalled is reported; 0 waits until Deadline.
	HeaderTimeout time.Duration
	GapTimeout    time.Duration
	// Beside requests that the running attempt, whose engine is silent, goes on until a part of this one's response can be
	// forwarded.
	// If the silent engine goes on first, this attempt ends as Superseded.
	Beside bool
	// ReportFirstEvent requests a FirstEventReceived.
	ReportFirstEvent bool
}

// EndStalledAttempt ends the younger one of two silent attempts of a request as Stalled, because a third engine can take
// its place, unless it has replaced the older one.
type EndStalledAttempt struct {
	Call   CallID
	Engine fleet.EngineID
}

// EndUnansweredAttempt ends the attempts of a request as Interrupted, unless a part of its response has reached
// the caller.
type EndUnansweredAttempt struct{ Call CallID }

// RefuseUnreadCalls refuses, as NotRun, the requests that are not read completely, from now on.
type RefuseUnreadCalls struct {
	Code       string
	RetryAfter time.Duration
}

// Refusal is the kind of a final response that the instance makes itself.
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

// Refuse ends a request with a final response of the instance's own, or, if a response has begun, by
// closing the caller's connection.
type Refuse struct {
	Call    CallID
	Refusal Refusal
	// Code is a stable word such as "no_engine".
	Code string
	// RetryAfter is the value of the Retry-After header; 0 omits it.
	RetryAfter time.Duration
}

// DeliverFailure forwards the engine's failure response that was held back.
type DeliverFailure struct{ Call CallID }

// Release ends a request that needs no further response: its caller has disconnected or has the response.
type Release struct {
	Call CallID
	// Complete reports whether the caller has the whole response. Otherwise the connection is closed.
	Complete bool
}

// Target implements Command.
func (e Send) Target() CallID { return e.Call }

// Target implements Command.
func (e Refuse) Target() CallID { return e.Call }

// Target implements Command.
func (e DeliverFailure) Target() CallID { return e.Call }

// Target implements Command.
func (e Release) Target() CallID { return e.Call }

// CheckEngine checks whether an engine that broke off a connection accepts a new one.
type CheckEngine struct {
	Engine fleet.EngineID
	Addr   string
}

// DropIdleConns closes the idle connections to an engine's address.
type DropIdleConns struct{ Addr string }

// ConfigInForce reports the configuration that applies to new requests.
type ConfigInForce struct{ Table *routing.Table }

// SetReady sets whether the balancer's readiness check succeeds.
type SetReady struct{ Ready bool }

// WatchStore starts or stops reading changes from the store.
type WatchStore struct {
	On bool
	// MinInterval is the least time between the starts of two store calls for changes.
	MinInterval time.Duration
	// RetryInterval is the least time from a failed call to the next one, beyond the usual backoff.
	RetryInterval time.Duration
}

// ListKeys lists all keys of the store again.
type ListKeys struct{}

// RenewPresence writes the instance's own key to the store again if it is gone.
type RenewPresence struct{}

// ReplaceKey writes a key without a lease to the store if its revision is Revision; 0 means that the key must be absent.
type ReplaceKey struct {
	Key      string
	Value    []byte
	Revision uint64
}

// StoreKey writes a key to the store with a lease, unless the key exists.
type StoreKey struct {
	Key   string
	Value []byte
	TTL   time.Duration
}

// RemoveKey removes a key from the store.
type RemoveKey struct{ Key string }

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
	// Dial reports whether this side opens the link.
	Dial bool
}

// StopAccepting closes the listener for callers and their idle connections.
type StopAccepting struct{}

// Drained reports that all requests have ended after DrainRequested, so that the process can exit.
type Drained struct{}

// Decision is an entry for the decision log and its counters.
type Decision struct {
	// Kind is a stable word such as "attempt_sent".
	Kind string
	// RequestID is the caller's own id of the request that the decision is about, or empty.
	RequestID string
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
	// FirstByte is the time to the header of the response; 0 without one.
	FirstByte time.Duration
	// Waited is the time from the request's arrival until the attempt was sent.
	Waited time.Duration
	// CacheFetch reports whether the engine was asked to fetch the prompt's cache from another one.
	CacheFetch bool
}

// CallWaited reports how long a request has waited for a turn at this instance.
type CallWaited struct {
	Urgency int
	Waited  time.Duration
}

func (CallDone) effect()             {}
func (CallWaited) effect()           {}
func (AttemptDone) effect()          {}
func (Send) effect()                 {}
func (EndStalledAttempt) effect()    {}
func (EndUnansweredAttempt) effect() {}
func (RefuseUnreadCalls) effect()    {}
func (Refuse) effect()               {}
func (DeliverFailure) effect()       {}
func (Release) effect()              {}
func (CheckEngine) effect()          {}
func (DropIdleConns) effect()        {}
func (ConfigInForce) effect()        {}
func (SetReady) effect()             {}
func (WatchStore) effect()           {}
func (ListKeys) effect()             {}
func (RenewPresence) effect()        {}
func (StoreKey) effect()             {}
func (ReplaceKey) effect()           {}
func (RemoveKey) effect()            {}
func (SendMessage) effect()          {}
func (SendToMany) effect()           {}
func (SetPeers) effect()             {}
func (StopAccepting) effect()        {}
func (Drained) effect()              {}
func (Decision) effect()             {}
