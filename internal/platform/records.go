package platform

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/bilberrywell/bilberrywell/replica"
)

// Prefixes of the keys that Records writes for leases and instances. Other keys are used as given.
const (
	leasePrefix    = "leases/"
	instancePrefix = "instances/"
)

// ErrTooLarge reports a value above MaxValueBytes. The write had no effect.
var ErrTooLarge = errors.New("platform: value too large")

// Records implements RecordStore and Directory on a Keyspace. Revisions of entries are revisions of the
// whole keyspace, and the fencing number of a lease is the revision at which its holder acquired it.
// Records is safe for concurrent use.
type Records struct {
	keyspace Keyspace

	mu sync.Mutex
	// watchPositions holds, by key, the revision of the keyspace up to which the key's entry is known.
	// A watch continues from there, so that it does not need the history since the entry's last change.
	watchPositions map[string]watchPosition
	// heldLeases caches, by name, the leases that this process acquired or renewed.
	heldLeases map[string]heldLease
}

type watchPosition struct{ entryRevision, keyspaceRevision uint64 }

type heldLease struct {
	holder string
	fence  uint64
	lease  LeaseID
}

// leaseValue is the value of a lease's key.
type leaseValue struct {
	Holder string `json:"holder"`
	// Lease is the number of the lease that the key is attached to.
	Lease uint64 `json:"lease"`
}

var (
	_ RecordStore = (*Records)(nil)
	_ Directory   = (*Records)(nil)
)

// NewRecords returns Records on a keyspace.
func NewRecords(keyspace Keyspace) *Records {
	return &Records{keyspace: keyspace, watchPositions: make(map[string]watchPosition), heldLeases: make(map[string]heldLease)}
}

// Get returns the entry of a key, ErrNotFound or ErrUnavailable.
func (r *Records) Get(ctx context.Context, key string) (Entry, error) {
	fact, err := r.keyspace.Get(ctx, key)
	if err != nil {
		return Entry{}, readError(err)
	}
	return Entry{Value: fact.Value, Revision: fact.Revision}, nil
}

// CompareAndSwap writes value if the key's revision is expect. It returns ErrConflict,
// ErrTooLarge, ErrUnavailable or ErrUnknown.
func (r *Records) CompareAndSwap(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	return r.keyspace.Commit(ctx, Txn{
		Conditions: []Condition{{Key: key, Revision: expect}},
		Writes:     []Write{{Key: key, Value: value}},
	})
}

// Watch waits at most wait for a revision other than after and returns the current entry. The entry
// of an absent key has revision zero. If the entry did not change, its value is not returned.
func (r *Records) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	fromRevision, ok := r.position(key, after)
	if !ok {
		entry, keyspaceRevision, err := r.readEntry(ctx, key)
		if err != nil {
			return Entry{}, err
		}
		r.setPosition(key, entry.Revision, keyspaceRevision)
		if entry.Revision != after {
			return entry, nil
		}
		fromRevision = keyspaceRevision
	}
	facts, keyspaceRevision, err := r.keyspace.Changes(ctx, key, fromRevision, wait)
	if errors.Is(err, ErrCompacted) {
		r.deletePosition(key)
		return r.Watch(ctx, key, after, wait)
	}
	if err != nil {
		return Entry{}, readError(err)
	}
	entry := Entry{Revision: after}
	for _, fact := range facts {
		if fact.Key != key {
			continue
		}
		entry = Entry{Value: fact.Value, Revision: fact.Revision}
		if fact.Deleted {
			entry = Entry{}
		}
	}
	r.setPosition(key, entry.Revision, keyspaceRevision)
	return entry, nil
}

// readEntry returns the entry of a key, which may be absent, with the revision of the keyspace.
func (r *Records) readEntry(ctx context.Context, key string) (Entry, uint64, error) {
	listing, err := r.keyspace.List(ctx, key)
	if err != nil {
		return Entry{}, 0, readError(err)
	}
	for _, fact := range listing.Facts {
		if fact.Key == key {
			return Entry{Value: fact.Value, Revision: fact.Revision}, listing.Revision, nil
		}
	}
	return Entry{}, listing.Revision, nil
}

// position returns the revision of the keyspace from which a watch of a key continues. It returns false if
// that is not known for this revision of the entry.
func (r *Records) position(key string, entryRevision uint64) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.watchPositions[key]
	return known.keyspaceRevision, ok && known.entryRevision == entryRevision
}

func (r *Records) setPosition(key string, entryRevision, keyspaceRevision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchPositions[key] = watchPosition{entryRevision, keyspaceRevision}
}

func (r *Records) deletePosition(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.watchPositions, key)
}

// Acquire takes or renews a lease. It returns ErrConflict, ErrUnavailable or ErrUnknown. The holder
// must count the TTL from before the call.
func (r *Records) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error) {
	held, ok := r.cachedLease(name)
	if !ok || held.holder != holder {
		var err error
		if held, ok, err = r.readLease(ctx, name); err != nil {
			return Lease{}, err
		}
	}
	switch {
	case !ok:
		return r.createLease(ctx, name, holder, ttl)
	case held.holder != holder:
		return Lease{}, ErrConflict
	}
	err := r.keyspace.KeepAlive(ctx, held.lease)
	if errors.Is(err, ErrNotFound) {
		// The lease has expired, and its key was removed with it.
		r.uncacheLease(name)
		return r.createLease(ctx, name, holder, ttl)
	}
	if err != nil {
		return Lease{}, err
	}
	r.cacheLease(name, held)
	return Lease{Name: name, Holder: holder, Fence: held.fence, TTL: ttl}, nil
}

// readLease reads a lease from the store. It reports whether the lease has a holder.
func (r *Records) readLease(ctx context.Context, name string) (heldLease, bool, error) {
	entry, err := r.Get(ctx, leasePrefix+name)
	if errors.Is(err, ErrNotFound) {
		return heldLease{}, false, nil
	}
	if err != nil {
		return heldLease{}, false, err
	}
	var value leaseValue
	if err := json.Unmarshal(entry.Value, &value); err != nil {
		return heldLease{}, false, oops.In("platform").With("lease", name).Wrap(errors.Join(ErrUnavailable, err))
	}
	lease := LeaseID{Era: replica.Era(entry.Revision), Number: value.Lease}
	return heldLease{value.Holder, entry.Revision, lease}, true, nil
}

// createLease grants a lease and writes its key, which must be absent.
func (r *Records) createLease(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error) {
	id, err := r.keyspace.GrantLease(ctx, ttl)
	if err != nil {
		return Lease{}, err
	}
	value, err := json.Marshal(leaseValue{holder, id.Number})
	if err != nil {
		return Lease{}, oops.In("platform").Wrap(err)
	}
	key := leasePrefix + name
	fence, err := r.keyspace.Commit(ctx, Txn{Conditions: []Condition{{Key: key}}, Writes: []Write{{Key: key, Value: value, Lease: id}}})
	switch {
	case errors.Is(err, ErrUnknown):
		// The key may have been written. In that case the next call reads the holder from it.
		return Lease{}, err
	case err != nil:
		// If this fails, the unused lease expires.
		_ = r.keyspace.RevokeLease(ctx, id)
		return Lease{}, err
	}
	r.cacheLease(name, heldLease{holder, fence, id})
	return Lease{Name: name, Holder: holder, Fence: fence, TTL: ttl}, nil
}

// Release ends a lease. It returns ErrConflict if the holder or fence is not current, ErrUnavailable
// or ErrUnknown.
func (r *Records) Release(ctx context.Context, name, holder string, fence uint64) error {
	held, ok, err := r.readLease(ctx, name)
	if err != nil {
		return err
	}
	if !ok || held.holder != holder || held.fence != fence {
		return ErrConflict
	}
	key := leasePrefix + name
	if _, err := r.keyspace.Commit(ctx, Txn{Conditions: []Condition{{Key: key, Revision: fence}}, Remove: []string{key}}); err != nil {
		return err
	}
	r.uncacheLease(name)
	// If this fails, the lease expires; its key is already removed.
	_ = r.keyspace.RevokeLease(ctx, held.lease)
	return nil
}

func (r *Records) cachedLease(name string) (heldLease, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held, ok := r.heldLeases[name]
	return held, ok
}

func (r *Records) cacheLease(name string, held heldLease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heldLeases[name] = held
}

func (r *Records) uncacheLease(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.heldLeases, name)
}

// InstanceEntry returns the key and value of an instance's row in the list of instances. The instance
// maintains the row with a Presence.
func InstanceEntry(i Instance) (key string, value []byte, err error) {
	value, err = json.Marshal(i)
	return instancePrefix + string(i.ID), value, err
}

// Instances returns the rows of all instances whose key has not expired, or ErrUnavailable.
func (r *Records) Instances(ctx context.Context) ([]Instance, error) {
	listing, err := r.keyspace.List(ctx, instancePrefix)
	if err != nil {
		return nil, readError(err)
	}
	list := make([]Instance, 0, len(listing.Facts))
	for _, fact := range listing.Facts {
		i, err := decodeInstance(fact)
		if err != nil {
			return nil, err
		}
		list = append(list, i)
	}
	return list, nil
}

func decodeInstance(fact replica.Fact) (Instance, error) {
	var i Instance
	if err := json.Unmarshal(fact.Value, &i); err != nil {
		return i, oops.In("platform").With("key", fact.Key).Wrap(errors.Join(ErrUnavailable, err))
	}
	return i, nil
}

// readError turns ErrUnknown of a read into ErrUnavailable, since a read has no effect.
func readError(err error) error {
	if errors.Is(err, ErrUnknown) {
		return oops.In("platform").Wrap(&readFailure{err})
	}
	return err
}

// readFailure is the error of a read whose answer was lost. It matches ErrUnavailable only.
type readFailure struct{ cause error }

func (e *readFailure) Error() string        { return ErrUnavailable.Error() + ": " + e.cause.Error() }
func (e *readFailure) Is(target error) bool { return target == ErrUnavailable }
