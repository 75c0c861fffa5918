// Package platform defines the interface to the platform's key-value service, Keyspace, which is all
// that the fleet needs from the platform. On top of it, Records provides compare-and-swap, watches,
// leases with fencing numbers and a list of instances, and Presence keeps an instance in that list.
//
// The key-value service holds all persistent state of the fleet. Implementations of the interfaces
// must be safe for concurrent use.
package platform

import (
	"context"
	"errors"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// MaxValueBytes is the largest value that the key-value service accepts.
const MaxValueBytes = 1 << 20

var (
	// ErrNotFound reports a key without a value.
	ErrNotFound = errors.New("platform: key not found")
	// ErrConflict reports a write whose expected revision is not the current one, or a lease that has
	// another holder.
	ErrConflict = errors.New("platform: revision conflict")
	// ErrUnavailable reports a call that had no effect, because the service refused it or could not be
	// reached.
	ErrUnavailable = errors.New("platform: service unavailable")
	// ErrUnknown reports a write that may have taken effect, because its answer was lost.
	ErrUnknown = errors.New("platform: outcome unknown")
	// ErrCompacted reports that the service no longer has the requested changes. The keys have to be
	// listed again.
	ErrCompacted = errors.New("platform: history is compacted")
)

// Entry is a key's value at a revision.
type Entry struct {
	Value []byte
	// Revision increases with each write to the key. Zero means that the key is absent.
	Revision uint64
}

// Lease is a named lease, which has at most one holder at a time. A LeaseID identifies another kind, a lease
// of a Keyspace, to which keys can be attached.
type Lease struct {
	Name   string
	Holder string
	// Fence is the fencing number. It increases with each new holder.
	Fence uint64
	// TTL is the time from the grant or renewal until the lease expires.
	TTL time.Duration
}

// RecordStore reads, writes and watches single keys and grants named leases. Records implements it on the
// platform's key-value service.
type RecordStore interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key's revision is expect, where zero means that the key is
	// absent, and returns the new revision. It fails with ErrConflict, ErrUnavailable or ErrUnknown.
	CompareAndSwap(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
	// Watch waits at most wait for a revision other than after and returns the current entry, whose
	// revision equals after if the entry did not change. A waiting watch counts as one call.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
	// Acquire takes or renews a lease for holder. It returns ErrConflict while another holds it.
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error)
	// Release ends a lease if fence is still its current fencing number.
	Release(ctx context.Context, name, holder string, fence uint64) error
}

// Instance is one row of the platform's list of instances.
type Instance struct {
	ID         fleet.InstanceID `json:"id"`
	PeerAddr   string           `json:"peer_addr"`
	AdminAddr  string           `json:"admin_addr"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	Region     fleet.Region     `json:"region"`
	Leaving    bool             `json:"leaving"`
}

// Directory is the platform's list of live and leaving instances. Changes appear in it with a delay.
type Directory interface {
	Instances(ctx context.Context) ([]Instance, error)
}
