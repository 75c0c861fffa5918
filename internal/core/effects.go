package core

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// Effect is an action that Step asks the daemon to carry out.
type Effect interface{ effect() }

// Target is an engine and its address.
type Target struct {
	Engine fleet.EngineID
	// Addr is the engine's IP address and port.
	Addr string
}

// StartAttempt sends a request to an engine.
type StartAttempt struct {
	Request RequestID
	Attempt uint64
	// AttemptID is sent to the engine, which must return it with the answer.
	AttemptID fleet.AttemptID
	Target    Target
	// Resume asks the engine to continue after the part of the answer that the caller has received.
	Resume       bool
	Class        int
	StallTimeout time.Duration
}

// FailureKind tells a caller whether its request ran.
type FailureKind string

// Failure kinds.
const (
	// FailureNotRun: the request was not sent to an engine, or was refused before it ran. It is
	// safe to send again.
	FailureNotRun FailureKind = "not_run"
	// FailureUnknown: the request may have run.
	FailureUnknown FailureKind = "unknown"
	// FailureFailed: the request ran and failed.
	FailureFailed FailureKind = "failed"
)

// FailRequest ends a request with an error answer.
type FailRequest struct {
	Request RequestID
	Kind    FailureKind
	// Code is one of the failure codes, such as "rate_limited".
	Code       string
	Message    string
	RetryAfter time.Duration
}

// ReplayOutcome answers a request with the recorded outcome of an earlier call.
type ReplayOutcome struct {
	Request RequestID
	Outcome wire.Outcome
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
	// Dial is set if this instance opens the link.
	Dial bool
}

// StoreGet reads a key.
type StoreGet struct {
	Op  uint64
	Key string
}

// StoreSwap writes a key if its revision is Expect.
type StoreSwap struct {
	Op     uint64
	Key    string
	Value  []byte
	Expect uint64
}

// StoreWatch waits up to Wait for a revision of a key above After.
type StoreWatch struct {
	Op    uint64
	Key   string
	After uint64
	Wait  time.Duration
}

// LeaseAcquire takes or renews a lease.
type LeaseAcquire struct {
	Op   uint64
	Name string
	// Holder is unique for each term of each process.
	Holder string
	TTL    time.Duration
}

// LeaseRelease releases a lease.
type LeaseRelease struct {
	Op     uint64
	Name   string
	Holder string
	Fence  uint64
}

// ListInstances reads the platform's list of instances.
type ListInstances struct{}

// ProbeEngine reads an engine's load and state report.
type ProbeEngine struct{ Target Target }

// ReadCacheEvents reads an engine's cache events after a sequence number.
type ReadCacheEvents struct {
	Target Target
	After  uint64
}

// SendOrder sends an engine an order that declares the state it should have.
type SendOrder struct {
	Target   Target
	Fence    uint64
	Model    string
	Version  string
	Adapters []string
	Role     string
	// NotAfter is the monotonic time at which the lease holder must stop sending. The daemon
	// checks it right before it sends, because the process may have been paused since the
	// decision.
	NotAfter time.Duration
}

// MoveChat exports a chat's KV cache from one engine and imports it into another.
type MoveChat struct {
	From, To Target
	Chat     fleet.ChatKey
}

// ConfigInForce reports the configuration that is now in force.
type ConfigInForce struct {
	Version   uint64
	PublishID string
}

// SetReady reports whether the instance accepts callers.
type SetReady struct{ Ready bool }

// DrainStarted reports the start of a drain, by signal, by an operator or by a planned stop.
type DrainStarted struct{}

// InterruptAttempts ends the running attempts of which the engine has not answered yet, and those that begin later, as
// broken.
type InterruptAttempts struct{}

// Drained reports the end of a drain: no request is in flight and no end of a claim is unconfirmed.
type Drained struct{}

// AddToCounter adds to a counter.
type AddToCounter struct {
	Counter Counter
	N       uint64
}

// RecordEvent adds an event to the time line.
type RecordEvent struct {
	Kind     string
	Request  RequestID
	Attempt  fleet.AttemptID
	Chat     fleet.ChatKey
	Engine   fleet.EngineID
	Customer fleet.CustomerID
	Detail   string
}

func (StartAttempt) effect()      {}
func (FailRequest) effect()       {}
func (ReplayOutcome) effect()     {}
func (SendMessage) effect()       {}
func (SetPeers) effect()          {}
func (StoreGet) effect()          {}
func (StoreSwap) effect()         {}
func (StoreWatch) effect()        {}
func (LeaseAcquire) effect()      {}
func (LeaseRelease) effect()      {}
func (ListInstances) effect()     {}
func (ProbeEngine) effect()       {}
func (ReadCacheEvents) effect()   {}
func (SendOrder) effect()         {}
func (MoveChat) effect()          {}
func (ConfigInForce) effect()     {}
func (SetReady) effect()          {}
func (DrainStarted) effect()      {}
func (Drained) effect()           {}
func (InterruptAttempts) effect() {}
func (AddToCounter) effect()      {}
func (RecordEvent) effect()       {}
