package wire

import "github.com/bilberrywell/bilberrywell/fleet"

// Message is a typed peer message. Kind identifies its type on the wire.
type Message interface {
	Kind() Kind
}

// Kind identifies a message type. Values are part of the protocol and are never reused.
type Kind uint8

// Message kinds. 14 and 20 are reserved.
const (
	KindHello               Kind = 1
	KindHeartbeat           Kind = 2
	KindAdmit               Kind = 3
	KindAdmitReply          Kind = 4
	KindRelease             Kind = 5
	KindRegister            Kind = 6
	KindRegisterDone        Kind = 7
	KindRateRequest         Kind = 8
	KindRateGrant           Kind = 9
	KindClaimRequest        Kind = 10
	KindClaimReply          Kind = 11
	KindClaimFinish         Kind = 12
	KindStrike              Kind = 13
	KindConfigRequest       Kind = 15
	KindConfigManifest      Kind = 16
	KindBlobRequest         Kind = 17
	KindBlob                Kind = 18
	KindEngineState         Kind = 19
	KindStamp               Kind = 21
	KindChatPlacement       Kind = 22
	KindRegisterRequest     Kind = 23
	KindStatusReport        Kind = 24
	KindStoreFacts          Kind = 25
	KindFactsRequest        Kind = 26
	KindLoads               Kind = 27
	KindCrashEvidence       Kind = 28
	KindEngineLimits        Kind = 29
	KindEngineTokenRequest  Kind = 30
	KindEngineTokenReply    Kind = 31
	KindStoreRead           Kind = 32
	KindEngineWarmUps       Kind = 33
	KindStreamOrigins       Kind = 34
	KindStreamOriginRequest Kind = 35
	KindStreamOriginReply   Kind = 36
)

// Hello is the first message on a link, in both directions.
type Hello struct {
	Instance fleet.InstanceID `cbor:"1,keyasint"`
	// Incarnation differs for each start of the daemon.
	Incarnation uint64           `cbor:"2,keyasint"`
	DataCentre  fleet.DataCentre `cbor:"3,keyasint,omitempty"`
	Region      fleet.Region     `cbor:"4,keyasint,omitempty"`
	// Release is the software version, for upgrades with two versions side by side.
	Release string `cbor:"5,keyasint,omitempty"`
	// Addr is the address of the sender's peer listener.
	Addr string `cbor:"6,keyasint,omitempty"`
}

// Stamp carries the sender's hybrid logical time, at most once per frame. With it the timelines
// of all instances can be merged in an order that respects cause and effect.
type Stamp struct {
	Time uint64 `cbor:"1,keyasint"`
}

// Heartbeat reports that the sender is alive and what changed since its previous heartbeat on this link.
type Heartbeat struct {
	Sequence      uint64 `cbor:"1,keyasint"`
	ConfigVersion uint64 `cbor:"2,keyasint,omitempty"`
	Draining      bool   `cbor:"3,keyasint,omitempty"`
	// Pools holds the totals of the engines whose home is the sender, for changed pools only.
	Pools []PoolTotal `cbor:"4,keyasint,omitempty"`
	// Saturated lists engines that became full, Unsaturated engines that have room again.
	Saturated   []fleet.EngineID `cbor:"5,keyasint,omitempty"`
	Unsaturated []fleet.EngineID `cbor:"6,keyasint,omitempty"`
	// Full marks a heartbeat that carries the complete state instead of changes.
	Full bool `cbor:"7,keyasint,omitempty"`
	// IntervalMs is the sender's longest time between heartbeats.
	IntervalMs uint32 `cbor:"8,keyasint,omitempty"`
	// HeadAgeMs is the time since the sender itself last read the head of the configuration, plus one. It is 0 if
	// that was long ago, and in messages of earlier releases.
	HeadAgeMs uint32 `cbor:"9,keyasint,omitempty"`
}

// PoolTotal is the total load of those engines of a service whose home is the sender.
type PoolTotal struct {
	Service  fleet.ServiceID `cbor:"1,keyasint"`
	InFlight int             `cbor:"2,keyasint,omitempty"`
	Queued   int             `cbor:"3,keyasint,omitempty"`
	// CapacityMilli is the sum of the engines' capacities in thousandths.
	CapacityMilli int64 `cbor:"4,keyasint,omitempty"`
}

// Admit asks the home of an engine to admit an attempt.
type Admit struct {
	// Attempt is unique per sender and incarnation.
	Attempt  uint64           `cbor:"1,keyasint"`
	Engine   fleet.EngineID   `cbor:"2,keyasint"`
	Chat     fleet.ChatKey    `cbor:"3,keyasint,omitempty"`
	Customer fleet.CustomerID `cbor:"4,keyasint,omitempty"`
	Class    uint8            `cbor:"5,keyasint,omitempty"`
	WaitedMs uint32           `cbor:"6,keyasint,omitempty"`
	// DeadlineMs is the time left until the work must be done; zero means no deadline.
	DeadlineMs  uint32            `cbor:"7,keyasint,omitempty"`
	Fingerprint fleet.Fingerprint `cbor:"8,keyasint,omitempty"`
	// MayQueue asks the home to queue the attempt when it can't be granted at once.
	MayQueue bool `cbor:"9,keyasint,omitempty"`
	// NoRedirect keeps a queued attempt in this queue instead of redirecting it to other engines.
	NoRedirect bool `cbor:"10,keyasint,omitempty"`
	// IgnorePlacement forbids a redirect to the engine on which the chat was placed before.
	IgnorePlacement bool `cbor:"11,keyasint,omitempty"`
}

// Decision is a home's answer to Admit.
type Decision uint8

// Decisions of a home.
const (
	DecisionGranted  Decision = 1
	DecisionQueued   Decision = 2
	DecisionRedirect Decision = 3
	DecisionRefused  Decision = 4
)

// AdmitReply answers Admit. A queued attempt gets a second reply later.
type AdmitReply struct {
	Attempt  uint64   `cbor:"1,keyasint"`
	Decision Decision `cbor:"2,keyasint"`
	// Reason is a short code that can be counted, such as "full" or "draining".
	Reason       string `cbor:"3,keyasint,omitempty"`
	RetryAfterMs uint32 `cbor:"4,keyasint,omitempty"`
	// Placed is the engine on which the chat ran last. It is set in a redirect to that engine.
	Placed fleet.EngineID `cbor:"6,keyasint,omitempty"`
}

// ChatPlacement informs the home of a chat's first-choice engine that the chat runs on another engine.
type ChatPlacement struct {
	Chat fleet.ChatKey `cbor:"1,keyasint"`
	// First is the chat's first-choice engine and Engine the one that runs it.
	First  fleet.EngineID `cbor:"2,keyasint"`
	Engine fleet.EngineID `cbor:"3,keyasint"`
}

// Result states how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	ResultComplete Result = 1
	ResultNotRun   Result = 2
	ResultBroken   Result = 3
	ResultStalled  Result = 4
	ResultCanceled Result = 5
)

// Release returns a grant to the home.
type Release struct {
	Attempt uint64         `cbor:"1,keyasint"`
	Engine  fleet.EngineID `cbor:"2,keyasint"`
	Result  Result         `cbor:"3,keyasint"`
	// Cached is set when the engine reported a prefix cache hit.
	Cached bool `cbor:"4,keyasint,omitempty"`
}

// RunningAttempt describes one attempt in Register.
type RunningAttempt struct {
	Attempt     uint64            `cbor:"1,keyasint"`
	Customer    fleet.CustomerID  `cbor:"2,keyasint,omitempty"`
	Class       uint8             `cbor:"3,keyasint,omitempty"`
	Chat        fleet.ChatKey     `cbor:"4,keyasint,omitempty"`
	Fingerprint fleet.Fingerprint `cbor:"5,keyasint,omitempty"`
}

// Register lists the sender's attempts that run on an engine, for the engine's new home.
type Register struct {
	Engine   fleet.EngineID   `cbor:"1,keyasint"`
	Attempts []RunningAttempt `cbor:"2,keyasint"`
}

// RegisterRequest asks an entry to register its attempts on the given engines. A new home sends it,
// because entries may have sent Register before the new home knew that it is the home.
type RegisterRequest struct {
	Engines []fleet.EngineID `cbor:"1,keyasint"`
}

// RegisterDone ends the registration of the sender's attempts on Engines, whose home is the
// receiver. Of all attempts up to LastAttempt, only those in ActiveAttempts still run or wait at the
// receiver. It frees the others, because the messages that ended them were lost with a link.
type RegisterDone struct {
	// Engines is empty in the periodic reconciliation, which registers no attempts.
	Engines        []fleet.EngineID `cbor:"1,keyasint,omitempty"`
	LastAttempt    uint64           `cbor:"2,keyasint,omitempty"`
	ActiveAttempts []uint64         `cbor:"3,keyasint,omitempty"`
}

// RateRequest asks the instance that owns a customer's rate for rate tokens, or returns unused ones of
// a batch.
type RateRequest struct {
	Customer fleet.CustomerID `cbor:"1,keyasint"`
	// RequestID identifies the request and is repeated in the grant. Zero means that the message only
	// returns tokens.
	RequestID uint64 `cbor:"2,keyasint,omitempty"`
	Want      int    `cbor:"3,keyasint,omitempty"`
	// BatchIncarnation and Batch identify the batch that the Returned tokens belong to. BatchIncarnation
	// is the incarnation of the owner that granted it.
	BatchIncarnation uint64 `cbor:"4,keyasint,omitempty"`
	Batch            uint64 `cbor:"5,keyasint,omitempty"`
	Returned         int    `cbor:"6,keyasint,omitempty"`
}

// RateGrant answers RateRequest with rate tokens that expire.
type RateGrant struct {
	Customer         fleet.CustomerID `cbor:"1,keyasint"`
	RequestID        uint64           `cbor:"2,keyasint"`
	BatchIncarnation uint64           `cbor:"3,keyasint,omitempty"`
	Batch            uint64           `cbor:"4,keyasint,omitempty"`
	Tokens           int              `cbor:"5,keyasint,omitempty"`
	// ValidForMs is the time for which the tokens are valid, counted from the time of the request.
	ValidForMs   uint32 `cbor:"6,keyasint,omitempty"`
	RetryAfterMs uint32 `cbor:"7,keyasint,omitempty"`
}

// ClaimRequest asks the owner of a claim partition to claim a key.
type ClaimRequest struct {
	// ID is repeated in the reply, to match it to the request.
	ID          uint64            `cbor:"1,keyasint"`
	Key         []byte            `cbor:"2,keyasint"`
	Fingerprint fleet.Fingerprint `cbor:"3,keyasint"`
	Attempt     fleet.AttemptID   `cbor:"4,keyasint"`
	// Nonce is unique among all requests for the key, including repeated ones of one attempt.
	Nonce uint64 `cbor:"5,keyasint"`
}

// ClaimStatus is the state of a claim in a reply.
type ClaimStatus uint8

// Claim states.
const (
	ClaimGranted     ClaimStatus = 1
	ClaimRecorded    ClaimStatus = 2
	ClaimRunning     ClaimStatus = 3
	ClaimUnknown     ClaimStatus = 4
	ClaimUnavailable ClaimStatus = 5
	ClaimMismatch    ClaimStatus = 6
	// ClaimStored confirms a ClaimFinish.
	ClaimStored ClaimStatus = 7
)

// ClaimReply answers ClaimRequest and ClaimFinish.
type ClaimReply struct {
	ID      uint64      `cbor:"1,keyasint"`
	Status  ClaimStatus `cbor:"2,keyasint"`
	Outcome *Outcome    `cbor:"3,keyasint,omitempty"`
	// MayBeStored is set when a record of an unavailable claim may exist, which the receiver of the
	// reply must release.
	MayBeStored bool `cbor:"4,keyasint,omitempty"`
}

// Outcome is the recorded result of a call.
type Outcome struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	// Truncated is set when the body was too large to record.
	Truncated bool `cbor:"4,keyasint,omitempty"`
}

// ClaimEnd states how a claimed call ended.
type ClaimEnd uint8

// Ends of a claimed call.
const (
	ClaimEndDone     ClaimEnd = 1
	ClaimEndReleased ClaimEnd = 2
	ClaimEndUnknown  ClaimEnd = 3
)

// ClaimFinish records the end of the call that was granted under Nonce. The sender repeats it
// until ClaimStored confirms it.
type ClaimFinish struct {
	ID      uint64   `cbor:"1,keyasint"`
	Key     []byte   `cbor:"2,keyasint"`
	Nonce   uint64   `cbor:"3,keyasint"`
	End     ClaimEnd `cbor:"4,keyasint"`
	Outcome *Outcome `cbor:"5,keyasint,omitempty"`
}

// Strike reports the fingerprints of requests that ran on an engine when it crashed. A request with
// strikes from several crashes is quarantined; see package quarantine.
type Strike struct {
	Engine            fleet.EngineID      `cbor:"1,keyasint"`
	EngineIncarnation uint64              `cbor:"2,keyasint,omitempty"`
	Fingerprints      []fleet.Fingerprint `cbor:"3,keyasint"`
	// Confirmed is set when the engine's home saw the crash. Unconfirmed strikes expire within seconds.
	Confirmed bool `cbor:"4,keyasint,omitempty"`
	// AgeMs is the time since the crash, set when a strike is passed on to further instances.
	AgeMs uint32 `cbor:"5,keyasint,omitempty"`
	// Parts holds the hashes of the prompt parts of each request in Fingerprints, in the same order. It
	// may be shorter.
	Parts [][]fleet.Fingerprint `cbor:"6,keyasint,omitempty"`
}

// ConfigRequest asks for the manifest of the newest configuration.
type ConfigRequest struct {
	HaveVersion uint64 `cbor:"1,keyasint,omitempty"`
}

// ConfigManifest carries the encoded manifest of a version.
type ConfigManifest struct {
	Version  uint64 `cbor:"1,keyasint"`
	Manifest []byte `cbor:"2,keyasint"`
}

// BlobRequest asks for files by digest.
type BlobRequest struct {
	Digests []string `cbor:"1,keyasint"`
}

// Blob carries one file.
type Blob struct {
	Digest string `cbor:"1,keyasint"`
	Data   []byte `cbor:"2,keyasint"`
}

// EngineState reports an engine's declared state to the instances that may hold the orders duty, the
// lease whose holder sends orders to the engines of a region.
type EngineState struct {
	Engine      fleet.EngineID `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint,omitempty"`
	Model       string         `cbor:"3,keyasint,omitempty"`
	Version     string         `cbor:"4,keyasint,omitempty"`
	Adapters    []string       `cbor:"5,keyasint,omitempty"`
	Role        string         `cbor:"6,keyasint,omitempty"`
}
