package wire

import "github.com/bilberrywell/bilberrywell/fleet"

// This file holds the messages between gateways; those between daemons are in messages.go.

// StatusReport is the periodic status of the sender: that it is alive, what it runs, and what its
// copy of the store holds.
type StatusReport struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// NewestRevision is the highest store revision in the sender's copy of the store, and FactsDigest the hash
	// of the copy's keys and values.
	NewestRevision uint64 `cbor:"2,keyasint,omitempty"`
	FactsDigest    uint64 `cbor:"3,keyasint,omitempty"`
	// StoreLost is set while the sender can't read the store.
	StoreLost bool `cbor:"4,keyasint,omitempty"`
	Draining  bool `cbor:"5,keyasint,omitempty"`
	// Running lists the engines on which the sender runs requests, unless LoadsInGrid is set.
	Running []EngineCount `cbor:"6,keyasint,omitempty"`
	// IntervalMs is the sender's longest time between two StatusReport messages.
	IntervalMs uint32 `cbor:"7,keyasint,omitempty"`
	// Prompts lists the prompts that were read since the sender's last StatusReport by another engine
	// than the one that affinity selects for them.
	Prompts []PromptLocation `cbor:"8,keyasint,omitempty"`
	// LoadsInGrid is set when the sender reports what it runs in Loads messages.
	LoadsInGrid bool `cbor:"9,keyasint,omitempty"`
	// Demand lists the sender's demand for services of which engines have named rate limits.
	Demand []ServiceDemand `cbor:"10,keyasint,omitempty"`
	// Leaving lists the engines that have told the sender since its last StatusReport that they leave. The
	// first report on a link lists all that the sender knows.
	Leaving []LeavingEngine `cbor:"11,keyasint,omitempty"`
	// Paces lists what the sender has measured since its last StatusReport, unless LoadsInGrid is set.
	Paces []EnginePace `cbor:"12,keyasint,omitempty"`
	// Era is the store's era of NewestRevision, plus one. Senders of earlier releases know none and send 0.
	Era uint64 `cbor:"13,keyasint,omitempty"`
	// CurrentAgeMs is the time since the sender's copy of the store was last known to be current, plus one. It
	// is 0 if it never was, and in messages of earlier releases.
	CurrentAgeMs uint32 `cbor:"14,keyasint,omitempty"`
	// Unread holds the prompt tokens that the engines of Running are still to read for the sender; see PackUnread.
	Unread []byte `cbor:"15,keyasint,omitempty"`
}

// StoreRead reports that the sender reads changes from the store for others, and when it last did.
type StoreRead struct {
	// AgeMs is the time since the last read, and FactsDigest the hash of the sender's copy of the store since then.
	AgeMs       uint32 `cbor:"1,keyasint,omitempty"`
	FactsDigest uint64 `cbor:"2,keyasint"`
}

// EnginePace is the mean time between the events of some streams of an engine.
type EnginePace struct {
	_       struct{} `cbor:",toarray"`
	Engine  fleet.EngineTag
	Streams int
	// GapMicros is the mean in microseconds.
	GapMicros uint32
}

// LeavingEngine reports that an engine has said that it leaves.
type LeavingEngine struct {
	_           struct{} `cbor:",toarray"`
	Engine      fleet.EngineID
	Incarnation uint64
	// AgeMs is the time since the engine said so.
	AgeMs uint32
}

// ServiceDemand is the rate of an instance's requests for a service.
type ServiceDemand struct {
	_       struct{} `cbor:",toarray"`
	Service fleet.ServiceID
	// MilliRate is in thousandths of a request a second.
	MilliRate int64
}

// EngineTokenRequest asks the owner of an engine's rate limit whether the sender may send the engine a
// request.
type EngineTokenRequest struct {
	// ID is repeated in the reply.
	ID     uint64         `cbor:"1,keyasint"`
	Engine fleet.EngineID `cbor:"2,keyasint"`
	// Key is the cache key of the request's prompt, 0 without one. FirstChoice reports whether the engine
	// is the first one in the key's order.
	Key         uint64 `cbor:"3,keyasint,omitempty"`
	FirstChoice bool   `cbor:"4,keyasint,omitempty"`
}

// EngineTokenReply answers EngineTokenRequest.
type EngineTokenReply struct {
	ID       uint64 `cbor:"1,keyasint"`
	Admitted bool   `cbor:"2,keyasint,omitempty"`
	// RetryAfterMs is the time until the engine accepts another request of any prompt. It is 0 if only this
	// request is denied.
	RetryAfterMs uint32 `cbor:"3,keyasint,omitempty"`
}

// EngineLimits reports the rate limits that engines have named.
type EngineLimits struct {
	Limits []EngineLimit `cbor:"1,keyasint"`
}

// EngineLimit is what an engine said of its rate limit.
type EngineLimit struct {
	_           struct{} `cbor:",toarray"`
	Engine      fleet.EngineID
	Incarnation uint64
	// MilliRate is in thousandths of a request a second for all instances together, or negative if the
	// engine named no limit.
	MilliRate int64
	// AgeMs is the time since the engine said so.
	AgeMs uint32
}

// EngineWarmUps reports engines that are cold for longer than their registration says, as far as the sender knows.
type EngineWarmUps struct {
	WarmUps []EngineWarmUp `cbor:"1,keyasint"`
}

// EngineWarmUp is for how long an engine's process stays cold.
type EngineWarmUp struct {
	_           struct{} `cbor:",toarray"`
	Engine      fleet.EngineID
	Incarnation uint64
	RemainingMs uint32
}

// Loads reports the requests that the sender runs or, if IsRowSum is set, the sum for its row of the
// grid in which the instances of a large fleet exchange loads. The sum includes the sender.
type Loads struct {
	IsRowSum bool          `cbor:"1,keyasint,omitempty"`
	Running  []EngineCount `cbor:"2,keyasint,omitempty"`
	// Paces lists what the sender, or its row, has measured since the last such message.
	Paces []EnginePace `cbor:"3,keyasint,omitempty"`
	// Unread holds the prompt tokens that the engines of Running are still to read; see PackUnread.
	Unread []byte `cbor:"4,keyasint,omitempty"`
}

// PromptLocation reports that an engine has read the shared part of a prompt.
type PromptLocation struct {
	_      struct{} `cbor:",toarray"`
	Prompt uint64
	Engine fleet.EngineID
}

// EngineCount is the number of requests of one or several instances at an engine.
type EngineCount struct {
	_      struct{} `cbor:",toarray"`
	Engine fleet.EngineTag
	Count  int
}

// StoreFacts carries keys of the store from one instance to others.
type StoreFacts struct {
	Facts []StoreFact `cbor:"1,keyasint"`
	// RelayTo lists the instances that the receiver passes the facts on to.
	RelayTo []fleet.InstanceID `cbor:"2,keyasint,omitempty"`
	// Batch holds further facts, compressed together; see PackFacts.
	Batch []byte `cbor:"3,keyasint,omitempty"`
}

// StoreFact is a key of the store as of a revision.
type StoreFact struct {
	Key      string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// Value is compressed if Packed is set; see Pack.
	Value   []byte `cbor:"3,keyasint,omitempty"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
	Packed  bool   `cbor:"6,keyasint,omitempty"`
	// ValueOmitted marks a large value that is left out and sent on request only, because most
	// receivers get it from another sender.
	ValueOmitted bool `cbor:"5,keyasint,omitempty"`
	// Version is the version that the writer gave the value, 0 without one. Era is the store's era of
	// Revision, plus one. Senders of earlier releases know neither and send 0.
	Version uint64 `cbor:"7,keyasint,omitempty"`
	Era     uint64 `cbor:"8,keyasint,omitempty"`
}

// FactsRequest asks for keys of the store, and for the facts of the receiver that differ from the
// sender's.
type FactsRequest struct {
	Keys []string `cbor:"1,keyasint,omitempty"`
	// Buckets holds the digest of each bucket of the sender's facts; the receiver answers with its
	// facts of the buckets that differ. If empty, only Keys are requested.
	Buckets []uint64 `cbor:"2,keyasint,omitempty"`
}

// CrashEvidence tells which traits of requests, prompt parts or whole requests, are known not to crash
// engines, and which are quarantined because they do.
type CrashEvidence struct {
	// Answered holds the time since an answered request with the trait was sent to its engine.
	Answered []TraitTime `cbor:"1,keyasint,omitempty"`
	// Quarantined holds the remaining time of the quarantine.
	Quarantined []TraitTime `cbor:"2,keyasint,omitempty"`
}

// TraitTime is a time in milliseconds that belongs to a trait.
type TraitTime struct {
	_     struct{} `cbor:",toarray"`
	Trait fleet.Fingerprint
	Ms    uint32
}

// StreamOrigins tells an instance that keeps copies which software version began some streams of a service.
type StreamOrigins struct {
	Service fleet.ServiceID     `cbor:"1,keyasint"`
	Version fleet.EngineVersion `cbor:"2,keyasint"`
	Streams []uint64            `cbor:"3,keyasint"`
	// Write asks the receiver to write them to the store.
	Write bool `cbor:"4,keyasint,omitempty"`
}

// StreamOriginRequest asks an instance for the origin of a stream. Service and Version are those of the only version at which
// streams of the service are open as far as the sender knows, for the receiver to confirm; empty if it knows several.
type StreamOriginRequest struct {
	// ID is repeated in the reply.
	ID      uint64              `cbor:"1,keyasint"`
	Stream  uint64              `cbor:"2,keyasint"`
	Service fleet.ServiceID     `cbor:"3,keyasint,omitempty"`
	Version fleet.EngineVersion `cbor:"4,keyasint,omitempty"`
}

// StreamOriginReply answers StreamOriginRequest. Service and Version are empty unless the origin is known.
type StreamOriginReply struct {
	ID      uint64              `cbor:"1,keyasint"`
	Known   bool                `cbor:"2,keyasint,omitempty"`
	Service fleet.ServiceID     `cbor:"3,keyasint,omitempty"`
	Version fleet.EngineVersion `cbor:"4,keyasint,omitempty"`
	// ReadStore reports whether the sender has looked for the origin in the store.
	ReadStore bool `cbor:"5,keyasint,omitempty"`
	// Confirmed reports whether the version of the request is the only one that the sender knows, too.
	Confirmed bool `cbor:"6,keyasint,omitempty"`
}
