package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Partitions is the number of claim partitions of a fleet.
const Partitions = 64

// MaxBodyBytes is the largest response body that is recorded. For a larger body only the status is recorded.
const MaxBodyBytes = 8 << 10

// Key identifies a non-idempotent call.
type Key [16]byte

// KeyOf returns the key of a call: a digest of customer, service and idempotency key.
func KeyOf(customer fleet.CustomerID, service fleet.ServiceID, idempotencyKey string) Key {
	h := sha256.New()
	var size [8]byte
	for _, part := range []string{string(customer), string(service), idempotencyKey} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return Key(h.Sum(nil)[:16])
}

// PartitionOf returns the partition of a key, in [0, Partitions).
func PartitionOf(k Key) int {
	return int(k[0]) % Partitions
}

// HeadKey returns the storage key of a partition's head.
func HeadKey(partition int) string {
	return fmt.Sprintf("claims/%02d/head", partition)
}

// Holder identifies one incarnation of an instance, from its start to its stop.
type Holder struct {
	Instance    fleet.InstanceID
	Incarnation uint64
}

// Request asks for the right to run a call.
type Request struct {
	Key         Key
	Fingerprint fleet.Fingerprint
	// Holder is the instance that will run the call, and Attempt its attempt.
	Holder  Holder
	Attempt fleet.AttemptID
	// Nonce must be unique among all Claim calls for the key, including repeated ones of one attempt.
	Nonce uint64
}

// Outcome is the recorded response of a finished call.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// StatusOnly reports that only the status is recorded, because the body or the content type
	// was too large.
	StatusOnly bool
}

// ReplyKind is the kind of answer to an input.
type ReplyKind uint8

const (
	// Granted allows the attempt to run.
	Granted ReplyKind = iota + 1
	// Recorded carries the outcome of an earlier attempt.
	Recorded
	// Running reports that another attempt holds the claim. The reply names that attempt.
	Running
	// Unknown reports that an earlier attempt may have run.
	Unknown
	// Unavailable reports that the claim could not be stored. This attempt must not run.
	Unavailable
	// Mismatch reports that the idempotency key was used with another request.
	Mismatch
	// Stored confirms Finish, Release or MarkUnknown.
	Stored
)

// String returns the name of the kind.
func (k ReplyKind) String() string {
	names := [...]string{"none", "granted", "recorded", "running", "unknown", "unavailable", "mismatch", "stored"}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprintf("reply(%d)", uint8(k))
}

// Effect is work for the caller of a Partition: Read, Swap or Reply.
type Effect interface{ effect() }

// Read asks for the value of Key. The answer goes to ReadDone with the same Call.
type Read struct {
	Call uint64
	Key  string
}

// Swap asks for a compare-and-swap. The answer goes to SwapDone with the same Call.
type Swap struct {
	Call   uint64
	Key    string
	Value  []byte
	Expect uint64
}

// Reply answers a Claim, Finish, Release or MarkUnknown, identified by Key and Nonce.
type Reply struct {
	Kind  ReplyKind
	Key   Key
	Nonce uint64
	// Holder, Attempt and HolderNonce identify the claim in force. Set for Running.
	Holder      Holder
	Attempt     fleet.AttemptID
	HolderNonce uint64
	// Outcome is set for Recorded.
	Outcome Outcome
	// MayBeStored is set for Unavailable when a record of the claim may have been stored. The
	// writer releases it; the requester should call Release as well in case the writer fails.
	MayBeStored bool
}

func (Read) effect()  {}
func (Swap) effect()  {}
func (Reply) effect() {}

// CallResult is the result of a storage call.
type CallResult uint8

const (
	// OK reports success.
	OK CallResult = iota
	// NotFound reports a key without a value.
	NotFound
	// Conflict reports a swap whose expected revision is not the current one.
	Conflict
	// Failed reports a call that was refused before it took effect.
	Failed
	// Lost reports a call whose answer was lost. A lost swap may have taken effect or may still
	// take effect.
	Lost
)

// Entry is a stored value at a revision. Revision zero means absent.
type Entry struct {
	Value    []byte
	Revision uint64
}

// Config holds the settings of a Partition. Zero durations and sizes take the defaults.
type Config struct {
	Partition int
	// Writer is the instance that runs this Partition. Segment keys are derived from it, so
	// two Partition values with the same partition number must have different writers.
	Writer Holder
	// BatchDelay is how long the first claim of a batch waits for others. Default 20 ms.
	BatchDelay time.Duration
	// UpdateDelay is how long Finish, Release and MarkUnknown wait for a batch. Default 200 ms:
	// most of them are then written together with a later claim. A resend that arrives during
	// the wait gets Running.
	UpdateDelay time.Duration
	// Deadline is the time after which a claim is answered Unavailable. Default 1 s.
	Deadline time.Duration
	// CallTimeout is the time after which the answer of a storage call counts as lost. Default 500 ms.
	CallTimeout time.Duration
	// BackoffMin and BackoffMax bound the wait after failed calls. Defaults 20 ms and 2 s.
	BackoffMin, BackoffMax time.Duration
	// Retention is how long outcomes are kept. Default 24 h.
	Retention time.Duration
	// SealBytes is the head size at which finished records move to a segment. Default 64 KiB, at
	// most 256 KiB. A smaller value writes fewer bytes per claim in small batches, but creates
	// more segments, which slow down lookups and takeover; see BenchmarkClaims.
	SealBytes int
	// MaxPending bounds the claims that wait for an answer. Above it a new claim is answered at
	// once, from the cached head or with Unavailable. Default 4096.
	MaxPending int
}

func (c Config) withDefaults() Config {
	setDefault(&c.BatchDelay, 20*time.Millisecond)
	setDefault(&c.UpdateDelay, 200*time.Millisecond)
	setDefault(&c.Deadline, time.Second)
	setDefault(&c.CallTimeout, 500*time.Millisecond)
	setDefault(&c.BackoffMin, 20*time.Millisecond)
	setDefault(&c.BackoffMax, 2*time.Second)
	setDefault(&c.Retention, 24*time.Hour)
	setDefault(&c.SealBytes, 64<<10)
	c.SealBytes = min(c.SealBytes, maxSealBytes)
	setDefault(&c.MaxPending, 4096)
	return c
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
