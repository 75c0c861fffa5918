// Package platform defines what the fleet needs from the platform: one key-value service, the
// Keyspace. Records gives it compare-and-swap, watches, leases with fencing numbers and a list of
// instances, and Presence keeps an instance in that list.
//
// The fleet stores everything that must last there. Implementations must be safe for concurrent
// use.
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
	// ErrConflict reports a write whose expected revision is not the current one, or a lease held by another.
	ErrConflict = errors.New("platform: revision conflict")
	// ErrUnavailable reports a call that the service refused before it took effect.
	ErrUnavailable = errors.New("platform: service unavailable")
	// ErrUnknown reports a write whose answer was lost: it may have taken effect.
	ErrUnknown = errors.New("platform: outcome unknown")
	// ErrCompacted reports changes that the service no longer has: the keys have to be listed again.
	ErrCompacted = errors.New("platform: history is compacted")
)

// Entry is a key's value at a revision.
type Entry struct {
	Value []byte
	// Revision rises with each write to the key. Zero means that the key is absent.
	Revision uint64
}

// Lease is a lease as granted by the service.
type Lease struct {
	Name   string
	Holder string
	// Fence is the fencing number. It rises with each new holder.
	Fence uint64
	// TTL is the time from the grant or renewal until the lease lapses.
	TTL time.Duration
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key's revision is expect (zero: absent) and returns the
	// new revision. It returns ErrConflict, ErrUnavailable or ErrUnknown.
	CompareAndSwap(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
	// Watch waits at most wait for a revision above after and returns the current entry.
	// The entry's revision equals after when nothing changed. A waiting watch counts as one call.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
	// Acquire takes or renews a lease for holder. It returns ErrConflict while another holds it.
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error)
	// Release gives up a lease if fence is still current.
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

// Directory is the platform's list of live and leaving instances. The list lags.
type Directory interface {
	Instances(ctx context.Context) ([]Instance, error)
}
