package router

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bilberrywell/bilberrywell/crashcause"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/replica"
)

// QuarantinePrefix precedes the hash of each quarantined trait in the store. The value is the time in
// milliseconds for which requests with it are refused. The key has a lease of that length.
const QuarantinePrefix = "bilberrywell/quarantines/"

const (
	// storeTurn is the time that each watcher waits for the one before it to write a quarantine.
	storeTurn = time.Second
	// storeRetryInterval is the time between attempts to write a quarantine.
	storeRetryInterval = 2 * time.Second
	// minStoredQuarantine is the shortest remaining time for which a quarantine is written, the shortest
	// lease that the store grants.
	minStoredQuarantine = time.Second
)

// quarantineStoring holds, by trait, when this instance next tries to write a quarantine to the store,
// and which ones have been there. Those are not written again: a key that has ended must not return.
type quarantineStoring struct {
	nextTry map[fleet.Fingerprint]time.Duration
	stored  map[fleet.Fingerprint]bool
}

func (s *quarantineStoring) init() {
	s.nextTry = make(map[fleet.Fingerprint]time.Duration)
	s.stored = make(map[fleet.Fingerprint]bool)
}

// storeRestored makes all quarantines be written again, since the store may have lost them.
func (s *quarantineStoring) storeRestored() { s.init() }

// listed records which quarantines a list of the store holds.
func (s *quarantineStoring) listed(facts []replica.Fact) {
	for _, f := range facts {
		if hash, ok := strings.CutPrefix(f.Key, QuarantinePrefix); ok {
			if trait, err := strconv.ParseUint(hash, 16, 64); err == nil {
				s.stored[fleet.Fingerprint(trait)] = true
			}
		}
	}
}

// forgetOthers drops what concerns quarantines that have ended: if one is renewed, its key is new.
func (s *quarantineStoring) forgetOthers(current []crashcause.Quarantine) {
	active := func(trait fleet.Fingerprint) bool {
		return slices.ContainsFunc(current, func(q crashcause.Quarantine) bool { return q.Trait == trait })
	}
	maps.DeleteFunc(s.nextTry, func(trait fleet.Fingerprint, _ time.Duration) bool { return !active(trait) })
	maps.DeleteFunc(s.stored, func(trait fleet.Fingerprint, _ bool) bool { return !active(trait) })
}

// storeQuarantines writes quarantines that are not in the store, so that they survive a restart of all
// instances. The instances that read the store take turns until one has succeeded.
func (r *Router) storeQuarantines() {
	s := &r.poison.storing
	quarantines := r.poison.detector.Quarantines(r.now)
	s.forgetOthers(quarantines)
	if !r.store.watching || r.store.lost {
		return
	}
	for _, q := range quarantines {
		if s.stored[q.Trait] || q.Remaining < minStoredQuarantine {
			continue
		}
		next, known := s.nextTry[q.Trait]
		if !known {
			next = r.now + time.Duration(r.store.rank)*storeTurn
			s.nextTry[q.Trait] = next
		}
		if r.now < next {
			continue
		}
		s.nextTry[q.Trait] = r.now + storeRetryInterval
		r.emit(StoreKey{
			Key:   QuarantinePrefix + hexHash(q.Trait),
			Value: []byte(strconv.FormatInt(q.Remaining.Milliseconds(), 10)),
			TTL:   q.Remaining,
		})
	}
}

// endQuarantines tells peers and the store that traits are harmless, since a request with them was
// answered after all.
func (r *Router) endQuarantines(lifted []crashcause.LiftedQuarantine) {
	var own []fleet.Fingerprint
	for _, c := range lifted {
		r.emit(Decision{Kind: "quarantine_lifted", Fields: []any{"trait", hexHash(c.Trait), "own", c.Own}})
		if c.Own {
			own = append(own, c.Trait)
		}
		if r.store.watching && r.poison.storing.stored[c.Trait] {
			r.emit(RemoveKey{Key: QuarantinePrefix + hexHash(c.Trait)})
		}
	}
	if len(own) > 0 {
		r.broadcast(&wire.CrashEvidence{Answered: answerAges(r.poison.detector.LatestAnswers(r.now, own))})
	}
}

// applyQuarantine adopts a quarantine from the store. The removal of its key changes nothing: the key
// may have expired early, since leases may expire while the store is unavailable.
func (r *Router) applyQuarantine(f replica.Fact) {
	hash, err := strconv.ParseUint(strings.TrimPrefix(f.Key, QuarantinePrefix), 16, 64)
	if f.Deleted {
		return
	}
	ms, valueErr := strconv.ParseUint(string(f.Value), 10, 32)
	if err != nil || valueErr != nil {
		r.emit(Decision{Kind: "quarantine_rejected", Fields: []any{"key", f.Key, "revision", replica.FormatRevision(f.Revision), "error", "unreadable"}})
		return
	}
	trait := fleet.Fingerprint(hash)
	r.poison.storing.stored[trait] = true
	r.adoptQuarantine(trait, milliseconds(uint32(ms)), "store")
}
