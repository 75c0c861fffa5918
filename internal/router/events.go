package router

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/placement"
	"github.com/bilberrywell/bilberrywell/replica"
	"github.com/bilberrywell/bilberrywell/versions"
)

// CallID identifies a caller's request within one process.
type CallID uint64

// Event is an input of Step.
type Event interface{ event() }

// Call holds the properties of a caller's request that decisions depend on.
type Call struct {
	ID CallID
	// RequestID is the caller's own id of the request, for logs.
	RequestID string
	Host      string
	// Path is the path of the request line, undecoded and without the query.
	Path   string
	APIKey string
	// Prompt is the hash of the part of the prompt that other requests share; 0 without one.
	Prompt fleet.ChatKey
	// Fingerprint is the hash of what an engine would run.
	Fingerprint fleet.Fingerprint
	// PromptParts holds the hashes of the parts of the prompt that other requests may share, in order.
	PromptParts []fleet.Fingerprint
	// Tokens holds the tokens of the prompt and the output; zero if they are unknown.
	Tokens placement.Tokens
	// Resumes reports whether the caller already has a part of the stream that it requests: it names the stream or its last event.
	Resumes bool
	// Stream identifies the stream of which the caller has a part, if it said.
	Stream versions.StreamKey
	// CallerTimeout is how long the caller waits for a response; 0 if it did not say.
	CallerTimeout time.Duration
	// BodyBytes is the size of the body, which is held until the request has its response.
	BodyBytes int64
	// Arrived is when the header of the request had been read.
	Arrived time.Duration
}

// CallArrived reports a caller's request that was read completely.
type CallArrived struct{ Call Call }

// EngineReport is what an engine says of itself in the header of a response.
type EngineReport struct {
	// Load is the load that the engine reported, or nil.
	Load *placement.Load
	// RateLimit is the number of requests a second that the engine accepts from all instances together, or
	// nil if it names no limit.
	RateLimit *float64
	// Leaving reports whether the engine says that it leaves, and QuietFor how long it wants no request from
	// this instance.
	Leaving  bool
	QuietFor time.Duration
	// ColdFor is how much longer the engine says that it stays cold, or nil if it does not say.
	ColdFor *time.Duration
	// UnusableValue describes a value in the header that can't be used, for logs.
	UnusableValue string
	// Confirmed reports whether the engine signed the response as the result of a request. Other responses
	// may lack what the engine would say.
	Confirmed bool
}

// ResponseStarted reports the header of an engine's response.
type ResponseStarted struct {
	Call   CallID
	Report EngineReport
}

// Outcome is the way in which an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Completed: the whole response was forwarded to the caller.
	Completed Outcome = iota + 1
	// Unsent: no byte of the request left the instance.
	Unsent
	// Rejected: the engine reported that it did not run the request.
	Rejected
	// Misdirected: another engine has the address and did not run the request.
	Misdirected
	// Errored: the engine ran the request and answered with a failure, which is held back.
	Errored
	// Broken: the connection or the response broke after the request was sent.
	Broken
	// Stalled: the engine exceeded the header or gap timeout of the attempt.
	Stalled
	// TimedOut: the time limit of the request passed.
	TimedOut
	// CallerLeft: the caller closed its connection.
	CallerLeft
	// Interrupted: the instance is about to stop.
	Interrupted
	// Superseded: the engine of the attempt beside which this one was sent has gone on.
	Superseded
)

// String returns the outcome's name as used in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"none", "completed", "unsent", "rejected", "misdirected", "errored", "broken", "stalled", "timed_out", "caller_left", "interrupted", "superseded"}[o]
}

// AttemptStalled reports that the engine of an attempt has exceeded the header or gap timeout.
type AttemptStalled struct {
	Call   CallID
	Engine fleet.EngineID
	// Delivered reports whether a part of a response has reached the caller.
	Delivered bool
}

// AttemptEnded reports how an attempt ended.
type AttemptEnded struct {
	Call CallID
	// Engine tells the attempts of a request apart that run at once; if it is empty, the older one has ended.
	Engine  fleet.EngineID
	Outcome Outcome
	// Delivered reports whether a part of a response has reached the caller.
	Delivered bool
	// EndsWithoutID reports whether the last event that has reached the caller has no id. No engine can go on with
	// the stream after it.
	EndsWithoutID bool
	// FirstByte is the time from sending to the header of the response; 0 without one.
	FirstByte time.Duration
	// EventGap is the mean time between the events of a stream; 0 if it had fewer than two.
	EventGap time.Duration
	// Discarded reports, for an attempt that has errored, that its response was not held back: another attempt was
	// under way.
	Discarded bool
	// Failed reports, for a completed attempt, whether the response is a failure of the engine.
	Failed bool
	// NoPath reports, for an attempt that was not sent, that the instance itself reaches no engine.
	NoPath bool
	// Report is nil without the header of a response.
	Report *EngineReport
	// Detail is the text of the error, and Framing how the end of the response's body is marked, for logs.
	Detail, Framing string
}

// CallerDisconnected reports that the caller disconnected while no attempt was running.
type CallerDisconnected struct{ Call CallID }

// EngineChecked is the result of CheckEngine.
type EngineChecked struct {
	Engine    fleet.EngineID
	Reachable bool
}

// KeysListed is a complete list of the keys under a prefix. The listing began at revision AtRevision.
type KeysListed struct {
	Prefix     string
	Facts      []replica.Fact
	AtRevision uint64
}

// KeysChanged holds the keys that changed up to revision AtRevision; it is empty if a store call for
// changes ended without any.
type KeysChanged struct {
	Facts      []replica.Fact
	AtRevision uint64
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

func (CallArrived) event()        {}
func (ResponseStarted) event()    {}
func (AttemptStalled) event()     {}
func (AttemptEnded) event()       {}
func (CallerDisconnected) event() {}
func (EngineChecked) event()      {}
func (KeysListed) event()         {}
func (KeysChanged) event()        {}
func (StoreLost) event()          {}
func (PeerUp) event()             {}
func (PeerDown) event()           {}
func (PeerMessage) event()        {}
func (DrainRequested) event()     {}
func (Tick) event()               {}
