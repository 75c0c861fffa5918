// Package replica keeps an instance's copy of keys of a key-value store and compares it with the
// copies of other instances.
//
// A Fact is the state of a key with the store's revision of its last change. Facts are merged by
// revision, so they may arrive in any order, more than once, from the store or from other instances,
// and all copies converge. A revision holds the era of the store, since a store that is restored from an
// older copy gives out revisions again. A deleted key leaves a tombstone, so that an older fact can't restore it; neither
// can one that is older than a complete list without the key.
// Values are compared by a hash that the caller may define, the value hash. A value that is written
// again with an equal value hash is not reported as a change: copies may then hold different revisions
// of a key and still have equal digests.
package replica

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fact is a key's state at a revision.
type Fact struct {
	Key      string
	Revision uint64
	// Version is the version that the writer has given the value, or 0 if it numbers none. Of two facts the
	// one with the higher version is newer, whatever their revisions: a restored store holds old values at
	// new revisions until they are written again.
	Version uint64
	Value   []byte
	Deleted bool
}

// NewerThan reports whether a fact replaces another one of its key.
func (f Fact) NewerThan(other Fact) bool {
	if f.Version != other.Version {
		return f.Version > other.Version
	}
	if f.Revision != other.Revision {
		return f.Revision > other.Revision
	}
	// A deletion inferred from a list carries the list's revision, which may equal that of the key's last
	// write. At the same revision the deletion therefore wins.
	return f.Deleted && !other.Deleted
}

// maxTombstones bounds the memory for deleted keys. Far fewer engines leave during the longest time
// by which a fact can be delayed.
const maxTombstones = 4096

// Buckets is the number of parts of the key space by which replicas are compared. With 1,600 engines
// a bucket has 25 facts of about 300 bytes each, and the digests of all buckets take half a kilobyte.
const Buckets = 64

// Replica is a copy of keys. It is not safe for concurrent use.
type Replica struct {
	facts     map[string]heldFact
	valueHash func(key string, value []byte) uint64
	// bucketDigests holds, for each bucket of keys, the exclusive or of the hashes of its facts that
	// are not deleted.
	bucketDigests [Buckets]uint64
	// newestRevision is the highest revision of any fact.
	newestRevision uint64
	// tombstones holds the keys of deleted facts in order of arrival. A key may have been written again
	// since.
	tombstones []string
	// listedAt holds, by prefix, the revision of the newest complete list. A key that the list lacked has no
	// tombstone if this copy never held it.
	listedAt map[string]uint64
}

// heldFact is a fact with the hash of its key and its value hash.
type heldFact struct {
	Fact
	hash uint64
}

// New returns an empty replica. Values of a key for which valueHash returns the same hash count as the
// same value. If valueHash is nil, the bytes of the value are hashed.
func New(valueHash func(key string, value []byte) uint64) *Replica {
	if valueHash == nil {
		valueHash = func(_ string, value []byte) uint64 { return xxhash.Sum64(value) }
	}
	return &Replica{facts: make(map[string]heldFact), valueHash: valueHash, listedAt: make(map[string]uint64)}
}

// NewestRevision returns the highest revision of any merged fact, also of one that an older one with a higher version has outlived.
func (r *Replica) NewestRevision() uint64 { return r.newestRevision }

// Digest returns a hash of all present keys with their value hashes. Replicas with equal digests hold
// the same keys with values that count as the same.
func (r *Replica) Digest() uint64 {
	digest := uint64(0)
	for _, d := range r.bucketDigests {
		digest ^= d
	}
	return digest
}

// BucketDigests returns for each bucket a hash of its present keys with their value hashes.
func (r *Replica) BucketDigests() []uint64 { return append([]uint64{}, r.bucketDigests[:]...) }

// Differing returns the facts of the buckets whose digests differ from those of another replica,
// deleted ones included, in order of key. If the number of digests is not Buckets, it returns all
// facts.
func (r *Replica) Differing(digests []uint64) []Fact {
	var facts []Fact
	for _, f := range r.facts {
		if b := bucket(f.Key); len(digests) != Buckets || digests[b] != r.bucketDigests[b] {
			facts = append(facts, f.Fact)
		}
	}
	slices.SortFunc(facts, func(a, b Fact) int { return cmp.Compare(a.Key, b.Key) })
	return facts
}

// Get returns a key's fact, and false if the key is unknown or deleted.
func (r *Replica) Get(key string) (Fact, bool) {
	f, ok := r.facts[key]
	return f.Fact, ok && !f.Deleted
}

// Merge stores the facts that are newer than those held. It returns those whose key appeared,
// disappeared or got another value hash, in order of revision. Of several facts about one key only
// the newest is returned.
func (r *Replica) Merge(facts []Fact) []Fact {
	var changed []Fact
	indexes := make(map[string]int)
	for _, f := range facts {
		if !r.put(f) {
			continue
		}
		if index, ok := indexes[f.Key]; ok {
			changed[index] = f
			continue
		}
		indexes[f.Key] = len(changed)
		changed = append(changed, f)
	}
	slices.SortStableFunc(changed, func(a, b Fact) int { return cmp.Compare(a.Revision, b.Revision) })
	return changed
}

// Reset merges a complete list of the keys under a prefix, which was begun at listRevision. Held keys
// that the list lacks and that did not change after listRevision are deleted. It returns the changes
// as Merge does.
func (r *Replica) Reset(prefix string, facts []Fact, listRevision uint64) []Fact {
	listed := make(map[string]bool, len(facts))
	for _, f := range facts {
		listed[f.Key] = true
	}
	var missing []Fact
	for key, held := range r.facts {
		if !held.Deleted && held.Revision <= listRevision && strings.HasPrefix(key, prefix) && !listed[key] {
			missing = append(missing, Fact{Key: key, Revision: listRevision, Deleted: true})
		}
	}
	slices.SortFunc(missing, func(a, b Fact) int { return cmp.Compare(a.Key, b.Key) })
	changed := r.Merge(append(missing, facts...))
	r.listedAt[prefix] = max(r.listedAt[prefix], listRevision)
	return changed
}

// deletedBefore reports whether a fact about an unknown key is older than a list that lacked the key.
func (r *Replica) deletedBefore(f Fact) bool {
	for prefix, revision := range r.listedAt {
		if f.Revision <= revision && strings.HasPrefix(f.Key, prefix) {
			return true
		}
	}
	return false
}

// All returns the facts of all present keys in order of key.
func (r *Replica) All() []Fact {
	all := make([]Fact, 0, len(r.facts))
	for _, f := range r.facts {
		if !f.Deleted {
			all = append(all, f.Fact)
		}
	}
	slices.SortFunc(all, func(a, b Fact) int { return cmp.Compare(a.Key, b.Key) })
	return all
}

// put stores a fact if it is newer than the one held. It reports whether the key appeared,
// disappeared or got another value hash.
func (r *Replica) put(f Fact) bool {
	old, known := r.facts[f.Key]
	if known {
		// Also a fact that is not newer shows how far the store has come.
		r.newestRevision = max(r.newestRevision, f.Revision)
	}
	if known && !f.NewerThan(old.Fact) {
		return false
	}
	// A list of a restored store may lack a numbered value that others hold.
	if !known && f.Version == 0 && r.deletedBefore(f) {
		return false
	}
	r.newestRevision = max(r.newestRevision, f.Revision)
	if !known && f.Deleted {
		r.storeTombstone(f)
		return false
	}
	present := known && !old.Deleted
	if f.Deleted {
		if present {
			r.bucketDigests[bucket(f.Key)] ^= old.hash
		}
		r.storeTombstone(f)
		return present
	}
	newHash := keyValueHash(f.Key, r.valueHash(f.Key, f.Value))
	r.facts[f.Key] = heldFact{Fact: f, hash: newHash}
	if present && newHash == old.hash {
		return false
	}
	if present {
		r.bucketDigests[bucket(f.Key)] ^= old.hash
	}
	r.bucketDigests[bucket(f.Key)] ^= newHash
	return true
}

// storeTombstone stores a deleted fact without its value, and drops the oldest tombstones when there
// are more than maxTombstones.
func (r *Replica) storeTombstone(f Fact) {
	f.Value = nil
	r.facts[f.Key] = heldFact{Fact: f}
	r.tombstones = append(r.tombstones, f.Key)
	for len(r.tombstones) > maxTombstones {
		if oldest := r.tombstones[0]; r.facts[oldest].Deleted {
			delete(r.facts, oldest)
		}
		r.tombstones = r.tombstones[1:]
	}
}

// bucket returns the bucket of a key.
func bucket(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

// keyValueHash returns the hash of a key and its value hash.
func keyValueHash(key string, valueHash uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], valueHash)
	_, _ = d.Write(bytes[:])
	_, _ = d.WriteString(key)
	return d.Sum64()
}
