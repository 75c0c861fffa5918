package platform

import (
	"context"
	"time"

	"github.com/bilberrywell/bilberrywell/replica"
)

// Write sets a key. The key is removed when its lease ends; without a lease it stays until it is removed by
// a transaction.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Condition is a precondition of a transaction: the revision of the key's last change must be
// Revision. 0 means that the key must be absent.
type Condition struct {
	Key      string
	Revision uint64
}

// Txn is an atomic change of keys. It is applied only if all conditions hold.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Remove     []string
}

// LeaseID identifies a lease that keys can be attached to. The zero value means no lease.
type LeaseID struct {
	// Era is the era of the service in which the lease was granted; see package replica.
	Era uint64
	// Number is the service's own number of the lease.
	Number uint64
}

// IsZero reports whether there is no lease.
func (l LeaseID) IsZero() bool { return l == LeaseID{} }

// Listing is the state of all keys under a prefix. Each key is as of Revision or a later one.
type Listing struct {
	Facts    []replica.Fact
	Revision uint64
}

// Keyspace is a key-value service with prefixes, transactions and leases.
//
// Its revisions and leases never repeat, also when the service is restored from a copy that lacks its latest
// changes: they hold the era of the service, see package replica. Changes then returns ErrCompacted for a
// revision of an earlier era, and conditions and leases of one don't hold.
//
// Calls return ErrUnavailable (the call had no effect), ErrUnknown (the call may have had an effect),
// ErrConflict (a condition did not hold), ErrNotFound (no such key or lease) or ErrCompacted.
type Keyspace interface {
	// Get reads a key, or returns ErrNotFound.
	Get(ctx context.Context, key string) (replica.Fact, error)
	// List reads all keys under a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// ListBefore reads the keys under a prefix that sort before end.
	ListBefore(ctx context.Context, prefix, end string) (Listing, error)
	// Changes waits at most wait for changes under a prefix after a revision. It returns the changes,
	// if any, with the revision from which the next call continues.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]replica.Fact, uint64, error)
	// Commit applies a transaction and returns its revision.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// GrantLease creates a lease. Callers must count its TTL from before the call.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// RevokeLease revokes a lease, which removes its keys.
	RevokeLease(ctx context.Context, lease LeaseID) error
}
