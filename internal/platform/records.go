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

// Records gives a Keyspace the calls of Store and Directory. A revision of an entry is that of the
// whole keyspace, and the fencing number of a lease is the revision at which its holder took it.
// It is safe for concurrent use.
type Records struct {
	keys Keyspace

	mu sync.Mutex
	// seen holds, by key, the revision of the keyspace up to which its entry is known, so that a
	// watch does not need the history since the entry's last change.
	seen map[string]seenEntry
	// held holds the leases that this process has taken, by name.
	held map[string]heldLease
}

type seenEntry struct{ entry, keyspace uint64 }

type heldLease struct {
	holder string
	fence  uint64
	lease  LeaseID
}

// leaseValue is the value of a lease's key.
type leaseValue struct {
	Holder string  `json:"holder"`
	Lease  LeaseID `json:"lease"`
}

var (
	_ Store     = (*Records)(nil)
	_ Directory = (*Records)(nil)
)

// NewRecords returns the records in a keyspace.
func NewRecords(keys Keyspace) *Records {
	return &Records{keys: keys, seen: make(map[string]seenEntry), held: make(map[string]heldLease)}
}

// Get returns the entry of a key, ErrNotFound or ErrUnavailable.
func (r *Records) Get(ctx context.Context, key string) (Entry, error) {
	fact, err := r.keys.Get(ctx, key)
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
	return r.keys.Commit(ctx, Txn{
		Guards: []Guard{{Key: key, Revision: expect}},
		Writes: []Write{{Key: key, Value: value}},
	})
}

// Watch waits at most wait for a revision other than after and returns the current entry. An
// absent key is an entry with revision zero; an entry that did not change has no value.
func (r *Records) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	from, ok := r.position(key, after)
	if !ok {
		entry, at, err := r.read(ctx, key)
		if err != nil {
			return Entry{}, err
		}
		r.note(key, entry.Revision, at)
		if entry.Revision != after {
			return entry, nil
		}
		from = at
	}
	facts, at, err := r.keys.Changes(ctx, key, from, wait)
	if errors.Is(err, ErrCompacted) {
		r.forget(key)
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
	r.note(key, entry.Revision, at)
	return entry, nil
}

// read returns the entry of a key, which may be absent, with the revision of the keyspace.
func (r *Records) read(ctx context.Context, key string) (Entry, uint64, error) {
	listing, err := r.keys.List(ctx, key)
	if err != nil {
		return Entry{}, 0, readError(err)
	}
	for _, fact := range listing.Facts {
		if fact.Key == key {
			return Entry{Value: fact.Value, Revision: fact.Revision}, listing.At, nil
		}
	}
	return Entry{}, listing.At, nil
}

func (r *Records) position(key string, entry uint64) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen, ok := r.seen[key]
	return seen.keyspace, ok && seen.entry == entry
}

func (r *Records) note(key string, entry, keyspace uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[key] = seenEntry{entry, keyspace}
}

func (r *Records) forget(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.seen, key)
}

// Acquire takes or renews a lease. It returns ErrConflict, ErrUnavailable or ErrUnknown. The TTL
// counts from before the call.
func (r *Records) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error) {
	held, ok := r.holding(name)
	if !ok || held.holder != holder {
		var err error
		if held, ok, err = r.readLease(ctx, name); err != nil {
			return Lease{}, err
		}
	}
	switch {
	case !ok:
		return r.take(ctx, name, holder, ttl)
	case held.holder != holder:
		return Lease{}, ErrConflict
	}
	err := r.keys.Keep(ctx, held.lease)
	if errors.Is(err, ErrNotFound) {
		// The lease has lapsed, and its key with it.
		r.drop(name)
		return r.take(ctx, name, holder, ttl)
	}
	if err != nil {
		return Lease{}, err
	}
	r.hold(name, held)
	return Lease{Name: name, Holder: holder, Fence: held.fence, TTL: ttl}, nil
}

// readLease reads who holds a lease.
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
	return heldLease{value.Holder, entry.Revision, value.Lease}, true, nil
}

// take writes the key of a lease that nobody holds.
func (r *Records) take(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error) {
	id, err := r.keys.Grant(ctx, ttl)
	if err != nil {
		return Lease{}, err
	}
	value, err := json.Marshal(leaseValue{holder, id})
	if err != nil {
		return Lease{}, oops.In("platform").Wrap(err)
	}
	key := leasePrefix + name
	fence, err := r.keys.Commit(ctx, Txn{Guards: []Guard{{Key: key}}, Writes: []Write{{Key: key, Value: value, Lease: id}}})
	switch {
	case errors.Is(err, ErrUnknown):
		// The key may be written: the next call finds the holder in it.
		return Lease{}, err
	case err != nil:
		// The unused lease lapses by itself when this call fails.
		_ = r.keys.End(ctx, id)
		return Lease{}, err
	}
	r.hold(name, heldLease{holder, fence, id})
	return Lease{Name: name, Holder: holder, Fence: fence, TTL: ttl}, nil
}

// Release gives up a lease. It returns ErrConflict if fence is not current, ErrUnavailable or
// ErrUnknown.
func (r *Records) Release(ctx context.Context, name, holder string, fence uint64) error {
	held, ok, err := r.readLease(ctx, name)
	if err != nil {
		return err
	}
	if !ok || held.holder != holder || held.fence != fence {
		return ErrConflict
	}
	key := leasePrefix + name
	if _, err := r.keys.Commit(ctx, Txn{Guards: []Guard{{Key: key, Revision: fence}}, Remove: []string{key}}); err != nil {
		return err
	}
	r.drop(name)
	// The lease without its key lapses by itself when this call fails.
	_ = r.keys.End(ctx, held.lease)
	return nil
}

func (r *Records) holding(name string) (heldLease, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held, ok := r.held[name]
	return held, ok
}

func (r *Records) hold(name string, held heldLease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[name] = held
}

func (r *Records) drop(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.held, name)
}

// InstanceEntry returns the key and value of an instance's row, which the instance keeps with a
// Presence.
func InstanceEntry(i Instance) (key string, value []byte, err error) {
	value, err = json.Marshal(i)
	return instancePrefix + string(i.ID), value, err
}

// Instances returns the rows of the instances that live, or ErrUnavailable.
func (r *Records) Instances(ctx context.Context) ([]Instance, error) {
	listing, err := r.keys.List(ctx, instancePrefix)
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

// readError makes a failed read ErrUnavailable, since a read has no effect to be unsure of.
func readError(err error) error {
	if errors.Is(err, ErrUnknown) {
		return oops.In("platform").Wrap(&readFailure{err})
	}
	return err
}

// readFailure is a read without an answer.
type readFailure struct{ cause error }

func (e *readFailure) Error() string        { return ErrUnavailable.Error() + ": " + e.cause.Error() }
func (e *readFailure) Is(target error) bool { return target == ErrUnavailable }
