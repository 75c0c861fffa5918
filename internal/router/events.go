package router

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/placement"
	"github.com/bilberrywell/bilberrywell/replica"
)

// CallID identifies a caller's request within one process.
type CallID uint64

// Event is an input of the reducer.
type Event interface{ event() }

// Call describes a caller's request as far as decisions need it.
type Call struct {
	ID CallID
	// Label is the caller's own id of the request, for logs.
	Label string
	Host  string
	// Path is that of the request line, undecoded and without its query.
	Path   string
	APIKey string
	// Prompt is the hash of the shared part of the prompt; 0 without one.
	Prompt fleet.ChatKey
	// Fingerprint is the hash of what an engine would run.
	Fingerprint fleet.Fingerprint
	// Patience is the time that the caller waits; 0 if it did not say.
	Patience time.Duration
	// Arrived is when the request's header had been read.
	Arrived time.Duration
}

// CallArrived reports a caller's request that was read whole.
type CallArrived struct{ Call Call }

// AttemptAnswered reports the head of an engine's answer.
type AttemptAnswered struct {
	Call CallID
	// Load is the engine's report of its load, if it sent one.
	Load *placement.Load
}

// Outcome tells how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Completed: the whole answer was passed to the caller.
	Completed Outcome = iota + 1
	// Unsent: no byte of the request left the instance.
	Unsent
	// Rejected: the engine said that it did not run the request.
	Rejected
	// Misdirected: another engine has the address; nothing ran.
	Misdirected
	// Errored: the engine ran the request and answered with a failure, which is held back.
	Errored
	// Broken: the connection or the answer broke after the request was sent.
	Broken
	// Stalled: the engine was silent for longer than the attempt waits.
	Stalled
	// TimedOut: the time for the request ended.
	TimedOut
	// CallerLeft: the caller closed its connection.
	CallerLeft
)

// String returns the outcome's name as used in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"none", "completed", "unsent", "rejected", "misdirected", "errored", "broken", "stalled", "timed_out", "caller_left"}[o]
}

// AttemptEnded reports how an attempt ended.
type AttemptEnded struct {
	Call    CallID
	Outcome Outcome
	// Delivered tells that a part of an answer has reached the caller.
	Delivered bool
	// FirstByte is the time from sending to the head of the answer; 0 without one.
	FirstByte time.Duration
	// Failed tells of a completed attempt that its answer is a failure of the engine.
	Failed bool
	Load   *placement.Load
	// Detail is the cause for logs.
	Detail string
}

// CallerGone reports that the caller left while no attempt ran.
type CallerGone struct{ Call CallID }

// EngineChecked answers CheckEngine.
type EngineChecked struct {
	Engine    fleet.EngineID
	Reachable bool
}

// KeysListed is a complete list of the keys under a prefix, begun at revision At.
type KeysListed struct {
	Prefix string
	Facts  []replica.Fact
	At     uint64
}

// KeysChanged holds changes of keys; it may be empty when a wait ended without changes.
type KeysChanged struct {
	Facts []replica.Fact
	At    uint64
}

// StoreLost reports that the store could not be read.
type StoreLost struct{ Err error }

// PeerUp reports an open link to an instance.
type PeerUp struct {
	Instance    fleet.InstanceID
	Incarnation uint64
	Addr        string
	DataCentre  fleet.DataCentre
}

// PeerDown reports a closed link.
type PeerDown struct {
	Instance    fleet.InstanceID
	Incarnation uint64
}

// PeerMessage is a message of a peer.
type PeerMessage struct {
	From        fleet.InstanceID
	Incarnation uint64
	Message     wire.Message
}

// DrainRequested asks the instance to stop gracefully.
type DrainRequested struct{}

// Tick advances timers.
type Tick struct{}

func (CallArrived) event()     {}
func (AttemptAnswered) event() {}
func (AttemptEnded) event()    {}
func (CallerGone) event()      {}
func (EngineChecked) event()   {}
func (KeysListed) event()      {}
func (KeysChanged) event()     {}
func (StoreLost) event()       {}
func (PeerUp) event()          {}
func (PeerDown) event()        {}
func (PeerMessage) event()     {}
func (DrainRequested) event()  {}
func (Tick) event()            {}
