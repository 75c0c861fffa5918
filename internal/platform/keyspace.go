package platform

import (
	"context"
	"time"

	"github.com/bilberrywell/bilberrywell/replica"
)

// Write sets a key. Lease is 0 for a key that stays until it is removed.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Guard is a condition of a transaction: the key's last change has this revision; 0 means that
// the key is absent.
type Guard struct {
	Key      string
	Revision uint64
}

// Txn is an all-or-nothing change of keys.
type Txn struct {
	Guards []Guard
	Writes []Write
	Remove []string
}

// LeaseID names a lease that keys may be bound to.
type LeaseID uint64

// Listing is the state of all keys under a prefix. Parts of it may be newer than At, none older.
type Listing struct {
	Facts []replica.Fact
	At    uint64
}

// Keyspace is a key-value service with prefixes, transactions and leases.
//
// Errors are ErrUnavailable (nothing was done), ErrUnknown (may have been done), ErrConflict (a
// guard failed), ErrNotFound (no such lease) and ErrCompacted.
type Keyspace interface {
	// Get reads a key, or returns ErrNotFound.
	Get(ctx context.Context, key string) (replica.Fact, error)
	// List reads all keys under a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Changes waits at most wait for changes under a prefix after a revision. It returns them with
	// the revision to continue from, and no changes when there were none.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]replica.Fact, uint64, error)
	// Commit applies a transaction and returns its revision.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// Grant creates a lease. It runs from before the call.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Keep renews a lease.
	Keep(ctx context.Context, lease LeaseID) error
	// End ends a lease, which removes its keys.
	End(ctx context.Context, lease LeaseID) error
}
