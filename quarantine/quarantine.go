// Package quarantine tracks the fingerprints of requests that were in flight when engines
// crashed, and decides which requests must be refused because they keep crashing engines.
//
// A fingerprint is the hash of the parts of a request that determine what an engine runs. Each crash
// of an engine adds one strike to the fingerprint of every request in flight there. A fingerprint
// with a strike is suspect; one with strikes from enough distinct crashes is quarantined.
// Strikes are broadcast, and merging them is idempotent, so every instance computes the same
// state in any order of arrival.
//
// A crash adds a strike to each request on the engine, not only to the one that caused it. No
// two suspects of different fingerprints are placed on one engine (see MayRunBeside), so that a
// harmless request does not get a second strike from the same crashing one.
//
// With a threshold of two, a fingerprint that is sent again after each crash crashes two
// engines. Copies that already run on other engines when the first crash becomes known are
// not stopped, so each of them may crash one more.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// State is the state of a fingerprint.
type State uint8

// Clear, Suspect and Quarantined are the states, in rising order of severity.
const (
	Clear State = iota
	Suspect
	Quarantined
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"clear", "suspect", "quarantined"}[s]
}

// Status is the state of a fingerprint and the time at which it ends.
type Status struct {
	State State
	// Until is when the state ends; 0 if it is Clear.
	Until time.Duration
}

// Strike records that a fingerprint was in flight when an incarnation of an engine crashed.
type Strike struct {
	Engine      fleet.EngineID
	Incarnation uint64
	Fingerprint fleet.Fingerprint
	// Age is the time since the crash. Clocks differ between instances, so peers exchange ages instead
	// of times.
	Age time.Duration
}

// Config holds the limits of a Tracker. Zero fields take the defaults.
type Config struct {
	// Threshold is the number of distinct crashes that quarantines a fingerprint. Default 2.
	Threshold int
	// QuarantineDuration is the length of a quarantine, counted from the crash that reached the
	// threshold. Default 10 min.
	QuarantineDuration time.Duration
	// StrikeLife is the time after which a strike no longer counts. Default 10 min.
	StrikeLife time.Duration
	// MaxFingerprints bounds the number of fingerprints in a Tracker. When it is full, the fingerprint
	// whose latest strike is oldest is dropped, suspects before quarantined ones. Default 4096.
	MaxFingerprints int
}

func (c Config) withDefaults() Config {
	c.Threshold = cmp.Or(max(c.Threshold, 0), 2)
	c.QuarantineDuration = cmp.Or(max(c.QuarantineDuration, 0), 10*time.Minute)
	c.StrikeLife = cmp.Or(max(c.StrikeLife, 0), 10*time.Minute)
	c.MaxFingerprints = cmp.Or(max(c.MaxFingerprints, 0), 4096)
	return c
}

// crash is one crash of an engine during which a fingerprint was in flight.
type crash struct {
	engine      fleet.EngineID
	incarnation uint64
	at          time.Duration
}

// record holds the crashes for which a fingerprint has a strike, oldest first, and the end of its
// quarantine.
type record struct {
	crashes          []crash
	quarantinedUntil time.Duration
}

func (r *record) lastCrashAt() time.Duration { return r.crashes[len(r.crashes)-1].at }

// Tracker holds the strikes that are known to one instance. It is not safe for concurrent use.
type Tracker struct {
	config  Config
	records map[fleet.Fingerprint]*record
}

// New returns an empty tracker.
func New(config Config) *Tracker {
	return &Tracker{config: config.withDefaults(), records: make(map[fleet.Fingerprint]*record)}
}

// Len returns the number of fingerprints that have a record.
func (t *Tracker) Len() int { return len(t.records) }

// Crash adds one strike to each fingerprint in flight on a crashed engine and returns the new strikes,
// which the caller broadcasts.
func (t *Tracker) Crash(now time.Duration, engine fleet.EngineID, incarnation uint64, inFlight []fleet.Fingerprint) []Strike {
	var added []Strike
	for _, fingerprint := range inFlight {
		strike := Strike{Engine: engine, Incarnation: incarnation, Fingerprint: fingerprint}
		if t.add(now, strike) {
			added = append(added, strike)
		}
	}
	return added
}

// Merge adds strikes received from peers and returns the new ones, which the caller passes on.
func (t *Tracker) Merge(now time.Duration, strikes []Strike) []Strike {
	var added []Strike
	for _, strike := range strikes {
		if t.add(now, strike) {
			added = append(added, strike)
		}
	}
	return added
}

// Strikes returns all strikes that still count, to be sent to a peer that has just joined.
func (t *Tracker) Strikes(now time.Duration) []Strike {
	var all []Strike
	for fingerprint, r := range t.records {
		for _, c := range r.crashes {
			if t.stillCounts(now, r, c.at) {
				all = append(all, Strike{c.engine, c.incarnation, fingerprint, now - c.at})
			}
		}
	}
	slices.SortFunc(all, compareStrikes)
	return all
}

// compareStrikes orders strikes by fingerprint, those of one fingerprint by crash, the oldest first.
func compareStrikes(a, b Strike) int {
	return cmp.Or(
		cmp.Compare(a.Fingerprint, b.Fingerprint),
		cmp.Compare(b.Age, a.Age),
		cmp.Compare(a.Engine, b.Engine),
		cmp.Compare(a.Incarnation, b.Incarnation))
}

// Check returns the state of a fingerprint.
func (t *Tracker) Check(now time.Duration, fingerprint fleet.Fingerprint) Status {
	r, ok := t.records[fingerprint]
	if !ok {
		return Status{}
	}
	if now < r.quarantinedUntil {
		return Status{Quarantined, r.quarantinedUntil}
	}
	if now-r.lastCrashAt() < t.config.StrikeLife {
		return Status{Suspect, r.lastCrashAt() + t.config.StrikeLife}
	}
	return Status{}
}

// Tick drops the fingerprints whose strikes and quarantine have ended.
func (t *Tracker) Tick(now time.Duration) {
	for fingerprint, r := range t.records {
		if t.Check(now, fingerprint).State == Clear {
			delete(t.records, fingerprint)
			continue
		}
		r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return !t.stillCounts(now, r, c.at) })
	}
}

// MayRunBeside reports whether a request may start on an engine that runs requests with the given
// fingerprints. A suspect must not run together with a suspect of another fingerprint, so that
// one crash can't add a second strike to both.
func (t *Tracker) MayRunBeside(now time.Duration, fingerprint fleet.Fingerprint, running []fleet.Fingerprint) bool {
	switch t.Check(now, fingerprint).State {
	case Clear:
		return true
	case Quarantined:
		return false
	}
	for _, other := range running {
		if other != fingerprint && t.Check(now, other).State != Clear {
			return false
		}
	}
	return true
}

// stillCounts reports whether the strike of a crash at a time still counts: it is younger than
// StrikeLife, or its fingerprint is quarantined.
func (t *Tracker) stillCounts(now time.Duration, r *record, at time.Duration) bool {
	return now < r.quarantinedUntil || now-at < t.config.StrikeLife
}

// add records a strike and reports whether it was new and still counts. It returns false for a
// strike that is dropped at once, since peers would otherwise pass it to each other without end. An
// expired strike is kept until the next Tick, since it may reach the threshold together with a later
// strike of the same message. The zero fingerprint is ignored: it stands for all requests without
// one, which are not alike.
func (t *Tracker) add(now time.Duration, s Strike) bool {
	at := now - max(s.Age, 0)
	if s.Fingerprint == 0 {
		return false
	}
	if now-at >= t.config.StrikeLife+t.config.QuarantineDuration {
		return false
	}
	r, ok := t.records[s.Fingerprint]
	if !ok {
		t.evictIfFull(now)
		r = &record{}
		t.records[s.Fingerprint] = r
	}
	if slices.ContainsFunc(r.crashes, func(c crash) bool {
		return c.engine == s.Engine && c.incarnation == s.Incarnation
	}) {
		return false
	}
	c := crash{s.Engine, s.Incarnation, at}
	t.insert(r, c)
	return slices.Contains(r.crashes, c) && t.stillCounts(now, r, at)
}

// insert adds a crash in order of time, keeps the latest 2*Threshold crashes, and starts or extends
// the quarantine if Threshold of them lie within StrikeLife.
func (t *Tracker) insert(r *record, c crash) {
	i, _ := slices.BinarySearchFunc(r.crashes, c, func(a, b crash) int { return cmp.Compare(a.at, b.at) })
	r.crashes = slices.Insert(r.crashes, i, c)
	if excess := len(r.crashes) - 2*t.config.Threshold; excess > 0 {
		r.crashes = slices.Delete(r.crashes, 0, excess)
	}
	for end := t.config.Threshold - 1; end < len(r.crashes); end++ {
		first, last := r.crashes[end-t.config.Threshold+1], r.crashes[end]
		if last.at-first.at < t.config.StrikeLife {
			r.quarantinedUntil = max(r.quarantinedUntil, last.at+t.config.QuarantineDuration)
		}
	}
}

// evictIfFull drops one fingerprint if there are MaxFingerprints.
func (t *Tracker) evictIfFull(now time.Duration) {
	if len(t.records) < t.config.MaxFingerprints {
		return
	}
	var evicted fleet.Fingerprint
	var evictedRecord *record
	for fingerprint, r := range t.records {
		if evictedRecord == nil || t.evictsBefore(now, fingerprint, r, evicted, evictedRecord) {
			evicted, evictedRecord = fingerprint, r
		}
	}
	delete(t.records, evicted)
}

// evictsBefore reports whether fingerprint fa with record a is dropped before fb with record b:
// suspects go before quarantined ones, then the one whose latest strike is older.
func (t *Tracker) evictsBefore(now time.Duration, fa fleet.Fingerprint, a *record, fb fleet.Fingerprint, b *record) bool {
	if qa, qb := now < a.quarantinedUntil, now < b.quarantinedUntil; qa != qb {
		return qb
	}
	if a.lastCrashAt() != b.lastCrashAt() {
		return a.lastCrashAt() < b.lastCrashAt()
	}
	return fa < fb
}
