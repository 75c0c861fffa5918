package core

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// Instant is the time of an event.
type Instant struct {
	// Mono is the monotonic time since the process started.
	Mono time.Duration
	// Wall is the wall-clock time, used for planned stops, daily deadlines and claim retention.
	Wall time.Time
}

// RequestID identifies a caller's request within one process.
type RequestID uint64

// Event is an input of Step.
type Event interface{ event() }

// Call holds the properties of a caller's request that decisions depend on. The daemon keeps
// body and headers.
type Call struct {
	Customer fleet.CustomerID
	Service  fleet.ServiceID
	// Chat is the conversation's key; zero for calls of plain services without one.
	Chat        fleet.ChatKey
	Fingerprint fleet.Fingerprint
	// Priority names a published priority; empty means the customer's own.
	Priority string
	// NonIdempotent calls run at most once per customer, service and idempotency key.
	NonIdempotent  bool
	IdempotencyKey string
}

// RequestArrived reports a caller's request that passed authentication and parsing.
type RequestArrived struct {
	Request RequestID
	Call    Call
}

// CallerDisconnected reports that the caller closed its connection.
type CallerDisconnected struct{ Request RequestID }

// FirstByte reports the first byte of an attempt's answer.
type FirstByte struct {
	Request RequestID
	Attempt uint64
}

// AttemptEnded reports how an attempt ended.
type AttemptEnded struct {
	Request RequestID
	Attempt uint64
	Result  wire.Result
	// Delivered is set if a part of the answer was sent to the caller.
	Delivered bool
	// Resumable is set if an engine can be asked to continue after the delivered part.
	Resumable bool
	// CacheHit is set if the engine read the prompt's prefix from its cache.
	CacheHit bool
	// Outcome is the answer of a non-idempotent call.
	Outcome *wire.Outcome
}

// PeerUp reports that a link to an instance has opened.
type PeerUp struct {
	Instance    fleet.InstanceID
	Incarnation uint64
	Addr        string
	DataCentre  fleet.DataCentre
	Region      fleet.Region
}

// PeerDown reports that a link to an instance has closed.
type PeerDown struct {
	Instance    fleet.InstanceID
	Incarnation uint64
}

// PeerMessage is a message from a peer.
type PeerMessage struct {
	From        fleet.InstanceID
	Incarnation uint64
	Message     wire.Message
}

// InstanceList answers ListInstances.
type InstanceList struct {
	Rows []platform.Instance
	Err  error
}

// StoreReply answers a StoreGet, StoreSwap or StoreWatch effect.
type StoreReply struct {
	Op    uint64
	Entry platform.Entry
	Err   error
}

// LeaseReply answers LeaseAcquire and LeaseRelease.
type LeaseReply struct {
	Op    uint64
	Lease platform.Lease
	Err   error
}

// EngineReport is an engine's answer to a probe.
type EngineReport struct {
	Engine      fleet.EngineID
	InFlight    int
	Queued      int
	Slots       int
	Incarnation uint64
	Model       string
	Version     string
	Adapters    []string
	Role        string
	Err         error
}

// CacheEvent reports that an engine stored a chat's prefix in its cache, or evicted it.
type CacheEvent struct {
	Sequence uint64
	Chat     fleet.ChatKey
	Stored   bool
}

// CacheEvents is an engine's answer to a read of its cache events.
type CacheEvents struct {
	Engine fleet.EngineID
	Events []CacheEvent
	Err    error
}

// OrderReply answers SendOrder.
type OrderReply struct {
	Engine fleet.EngineID
	Fence  uint64
	// Stale is set if the engine refused the order because it has seen a higher fencing number.
	Stale bool
	Err   error
}

// ChatMoved answers MoveChat.
type ChatMoved struct {
	From, To fleet.EngineID
	Chat     fleet.ChatKey
	Err      error
}

// ConfigPublished is a published configuration that the publisher sends directly to this instance.
type ConfigPublished struct {
	Manifest []byte
	Blobs    map[string][]byte
}

// DrainRequested asks the instance to drain, on a signal or on an operator's request.
type DrainRequested struct{}

// DrainDeadlinePassed reports that the daemon ends soon although requests are open.
type DrainDeadlinePassed struct{}

// Tick reports that time has passed. It runs all periodic work and due timers.
type Tick struct{}

func (RequestArrived) event()      {}
func (CallerDisconnected) event()  {}
func (FirstByte) event()           {}
func (AttemptEnded) event()        {}
func (PeerUp) event()              {}
func (PeerDown) event()            {}
func (PeerMessage) event()         {}
func (InstanceList) event()        {}
func (StoreReply) event()          {}
func (LeaseReply) event()          {}
func (EngineReport) event()        {}
func (CacheEvents) event()         {}
func (OrderReply) event()          {}
func (ChatMoved) event()           {}
func (ConfigPublished) event()     {}
func (DrainRequested) event()      {}
func (DrainDeadlinePassed) event() {}
func (Tick) event()                {}
