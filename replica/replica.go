// Package replica keeps a copy of keys of a key-value store that many instances read.
//
// Every fact carries the store's revision of its last change. Facts are merged by revision, so
// they may arrive in any order, more than once, from the store or from other instances, and all
// copies converge. A deleted key leaves a tombstone, so that an older fact can't bring it back.
// A value that is written again with the same meaning is no news: copies may then hold different
// revisions of a key, and still agree.
package replica

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fact is a key's state as of a revision.
type Fact struct {
	Key      string
	Revision uint64
	Value    []byte
	Deleted  bool
}

// maxTombstones bounds the memory for deleted keys. Engines that leave within the time that a
// late fact can travel are far fewer.
const maxTombstones = 4096

// Buckets is the number of parts in which replicas are compared. With 1,600 engines a bucket has 25
// facts of about 300 bytes, and the digests of all have half a kilobyte.
const Buckets = 64

// Replica is a copy of keys. It is not safe for concurrent use.
type Replica struct {
	facts   map[string]held
	meaning func(key string, value []byte) uint64
	// buckets holds, for each bucket of keys, the exclusive or of the hashes of its facts that are
	// not deleted.
	buckets [Buckets]uint64
	// newest is the highest revision of any fact.
	newest     uint64
	tombstones []string
}

// held is a fact with the hash of its key and of what its value means.
type held struct {
	Fact
	hash uint64
}

// New returns an empty replica. Values of a key for which meaning returns the same hash are alike; if
// meaning is nil, these are equal values.
func New(meaning func(key string, value []byte) uint64) *Replica {
	if meaning == nil {
		meaning = func(_ string, value []byte) uint64 { return xxhash.Sum64(value) }
	}
	return &Replica{facts: make(map[string]held), meaning: meaning}
}

// Newest returns the highest revision of a fact that was merged.
func (r *Replica) Newest() uint64 { return r.newest }

// Digest returns a hash of all present keys with the meaning of their values. Replicas with equal
// digests agree.
func (r *Replica) Digest() uint64 {
	digest := uint64(0)
	for _, d := range r.buckets {
		digest ^= d
	}
	return digest
}

// BucketDigests returns a hash of each bucket's present keys with the meaning of their values.
func (r *Replica) BucketDigests() []uint64 { return append([]uint64{}, r.buckets[:]...) }

// Differing returns the facts of the buckets whose digests differ from those of another replica,
// deleted ones included, in order of key. Digests of another number of buckets differ in all.
func (r *Replica) Differing(digests []uint64) []Fact {
	var facts []Fact
	for _, f := range r.facts {
		if b := bucket(f.Key); len(digests) != Buckets || digests[b] != r.buckets[b] {
			facts = append(facts, f.Fact)
		}
	}
	slices.SortFunc(facts, func(a, b Fact) int { return cmp.Compare(a.Key, b.Key) })
	return facts
}

// Get returns a key's fact. It is false for a key that is unknown or deleted.
func (r *Replica) Get(key string) (Fact, bool) {
	f, ok := r.facts[key]
	return f.Fact, ok && !f.Deleted
}

// Merge takes facts that are newer than those held, and returns those with another meaning in order
// of revision. Of several facts about one key only the newest is returned.
func (r *Replica) Merge(facts []Fact) []Fact {
	var fresh []Fact
	places := make(map[string]int)
	for _, f := range facts {
		if !r.put(f) {
			continue
		}
		if place, ok := places[f.Key]; ok {
			fresh[place] = f
			continue
		}
		places[f.Key] = len(fresh)
		fresh = append(fresh, f)
	}
	slices.SortStableFunc(fresh, func(a, b Fact) int { return cmp.Compare(a.Revision, b.Revision) })
	return fresh
}

// Reset takes a complete list of the keys under a prefix, begun at revision at. Held keys that
// the list lacks and that did not change after at are deleted. It returns what changed.
func (r *Replica) Reset(prefix string, facts []Fact, at uint64) []Fact {
	listed := make(map[string]bool, len(facts))
	for _, f := range facts {
		listed[f.Key] = true
	}
	var gone []Fact
	for key, known := range r.facts {
		if !known.Deleted && known.Revision <= at && strings.HasPrefix(key, prefix) && !listed[key] {
			gone = append(gone, Fact{Key: key, Revision: at, Deleted: true})
		}
	}
	slices.SortFunc(gone, func(a, b Fact) int { return cmp.Compare(a.Key, b.Key) })
	return r.Merge(append(gone, facts...))
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

// put stores a fact that is newer than the one held. It reports whether its meaning differs.
func (r *Replica) put(f Fact) bool {
	old, known := r.facts[f.Key]
	// A deletion inferred from a list carries the list's revision, which may equal that of the
	// key's last write.
	if known && (f.Revision < old.Revision || f.Revision == old.Revision && (old.Deleted || !f.Deleted)) {
		return false
	}
	r.newest = max(r.newest, f.Revision)
	if !known && f.Deleted {
		r.bury(f)
		return false
	}
	present := known && !old.Deleted
	if f.Deleted {
		if present {
			r.buckets[bucket(f.Key)] ^= old.hash
		}
		r.bury(f)
		return present
	}
	hash := hash(f.Key, r.meaning(f.Key, f.Value))
	r.facts[f.Key] = held{Fact: f, hash: hash}
	if present && hash == old.hash {
		return false
	}
	if present {
		r.buckets[bucket(f.Key)] ^= old.hash
	}
	r.buckets[bucket(f.Key)] ^= hash
	return true
}

// bury stores a tombstone and drops the oldest one when there are too many.
func (r *Replica) bury(f Fact) {
	f.Value = nil
	r.facts[f.Key] = held{Fact: f}
	r.tombstones = append(r.tombstones, f.Key)
	for len(r.tombstones) > maxTombstones {
		if oldest := r.tombstones[0]; r.facts[oldest].Deleted {
			delete(r.facts, oldest)
		}
		r.tombstones = r.tombstones[1:]
	}
}

func bucket(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

func hash(key string, meaning uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], meaning)
	_, _ = d.Write(bytes[:])
	_, _ = d.WriteString(key)
	return d.Sum64()
}
