// Package quarantine tracks the fingerprints of requests that were in flight when engines
// crashed, and refuses those that keep crashing engines.
//
// Each crash of an engine gives one strike to every fingerprint that ran on it. A
// fingerprint with a strike is suspect; one with strikes from enough distinct crashes is
// quarantined. Strikes are broadcast, and merging them is idempotent, so every instance
// reaches the same verdict in any order of arrival.
//
// An innocent request shares a strike with the one that caused a crash. Placing no two
// suspects of different fingerprints on one engine (see MayRun) keeps it from collecting a
// second strike next to the same culprit.
//
// With a threshold of two, a fingerprint that is sent again after each crash costs two
// engines. Copies that already run on other engines when the first crash becomes known are
// not stopped, so each of them may cost one more.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// State is the standing of a fingerprint.
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

// Verdict is the standing of a fingerprint and, unless it is clear, when that ends.
type Verdict struct {
	State State
	Until time.Duration
}

// Strike says that a fingerprint was in flight when an incarnation of an engine crashed.
type Strike struct {
	Engine      fleet.EngineID
	Incarnation uint64
	Fingerprint fleet.Fingerprint
	// Age is the time since the crash. Clocks differ between instances, so peers exchange ages.
	Age time.Duration
}

// Config holds the limits of a Tracker. Zero fields take the defaults.
type Config struct {
	// Threshold is the number of distinct crashes that quarantines a fingerprint. Default 2.
	Threshold int
	// Hold is the length of a quarantine, counted from the crash that reached the threshold. Default 10 min.
	Hold time.Duration
	// StrikeLife is the time after which a strike no longer counts. Default 10 min.
	StrikeLife time.Duration
	// MaxFingerprints bounds the table. When it is full, the fingerprint whose latest strike is
	// oldest is dropped, suspects before quarantined ones. Default 4096.
	MaxFingerprints int
}

func (c Config) withDefaults() Config {
	c.Threshold = cmp.Or(max(c.Threshold, 0), 2)
	c.Hold = cmp.Or(max(c.Hold, 0), 10*time.Minute)
	c.StrikeLife = cmp.Or(max(c.StrikeLife, 0), 10*time.Minute)
	c.MaxFingerprints = cmp.Or(max(c.MaxFingerprints, 0), 4096)
	return c
}

// crash is one distinct crash as seen by a fingerprint.
type crash struct {
	engine      fleet.EngineID
	incarnation uint64
	at          time.Duration
}

// record holds the strikes of one fingerprint, oldest first, and its quarantine's end.
type record struct {
	crashes []crash
	until   time.Duration
}

func (r *record) last() time.Duration { return r.crashes[len(r.crashes)-1].at }

// Tracker holds the strikes that one instance knows. It is not safe for concurrent use.
type Tracker struct {
	config  Config
	records map[fleet.Fingerprint]*record
}

// New returns an empty tracker.
func New(config Config) *Tracker {
	return &Tracker{config: config.withDefaults(), records: make(map[fleet.Fingerprint]*record)}
}

// Len returns the number of fingerprints in the table.
func (t *Tracker) Len() int { return len(t.records) }

// Crash gives one strike to each fingerprint in flight on a crashed engine and returns the
// strikes that are new, for broadcast.
func (t *Tracker) Crash(now time.Duration, engine fleet.EngineID, incarnation uint64, inFlight []fleet.Fingerprint) []Strike {
	var fresh []Strike
	for _, fingerprint := range inFlight {
		strike := Strike{Engine: engine, Incarnation: incarnation, Fingerprint: fingerprint}
		if t.add(now, strike) {
			fresh = append(fresh, strike)
		}
	}
	return fresh
}

// Merge adds strikes heard from peers and returns the ones that are new, to pass on.
func (t *Tracker) Merge(now time.Duration, strikes []Strike) []Strike {
	var fresh []Strike
	for _, strike := range strikes {
		if t.add(now, strike) {
			fresh = append(fresh, strike)
		}
	}
	return fresh
}

// Strikes returns all strikes that still count, for a peer that has just joined.
func (t *Tracker) Strikes(now time.Duration) []Strike {
	var all []Strike
	for fingerprint, r := range t.records {
		for _, c := range r.crashes {
			if t.alive(now, r, c.at) {
				all = append(all, Strike{c.engine, c.incarnation, fingerprint, now - c.at})
			}
		}
	}
	slices.SortFunc(all, compareStrikes)
	return all
}

func compareStrikes(a, b Strike) int {
	return cmp.Or(
		cmp.Compare(a.Fingerprint, b.Fingerprint),
		cmp.Compare(b.Age, a.Age),
		cmp.Compare(a.Engine, b.Engine),
		cmp.Compare(a.Incarnation, b.Incarnation))
}

// Check returns the standing of a fingerprint.
func (t *Tracker) Check(now time.Duration, fingerprint fleet.Fingerprint) Verdict {
	r, ok := t.records[fingerprint]
	if !ok {
		return Verdict{}
	}
	if now < r.until {
		return Verdict{Quarantined, r.until}
	}
	if now-r.last() < t.config.StrikeLife {
		return Verdict{Suspect, r.last() + t.config.StrikeLife}
	}
	return Verdict{}
}

// Tick drops the fingerprints whose strikes and quarantine have ended.
func (t *Tracker) Tick(now time.Duration) {
	for fingerprint, r := range t.records {
		if t.Check(now, fingerprint).State == Clear {
			delete(t.records, fingerprint)
			continue
		}
		r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return !t.alive(now, r, c.at) })
	}
}

// MayRun reports whether a request may start on an engine beside the fingerprints that run
// there. A suspect may not join a suspect with another fingerprint, so one crash cannot
// give a second strike to both.
func (t *Tracker) MayRun(now time.Duration, fingerprint fleet.Fingerprint, running []fleet.Fingerprint) bool {
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

// alive reports whether a strike still counts or still explains a quarantine in force.
func (t *Tracker) alive(now time.Duration, r *record, at time.Duration) bool {
	return now < r.until || now-at < t.config.StrikeLife
}

// add records a strike and reports whether it was new and still counts. A strike that is
// dropped at once is not new, or peers would pass it to each other without end. An expired
// one is kept until the next Tick, since a later strike of the same message may give it a
// quarantine to explain. The zero fingerprint stands for requests without one, which must not be
// confused with each other.
func (t *Tracker) add(now time.Duration, s Strike) bool {
	at := now - max(s.Age, 0)
	if s.Fingerprint == 0 {
		return false
	}
	if now-at >= t.config.StrikeLife+t.config.Hold {
		return false
	}
	r, ok := t.records[s.Fingerprint]
	if !ok {
		t.makeRoom(now)
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
	return slices.Contains(r.crashes, c) && t.alive(now, r, at)
}

// insert keeps the strikes ordered by time, at most twice the threshold of them, and starts or
// extends the quarantine when Threshold strikes lie within StrikeLife.
func (t *Tracker) insert(r *record, c crash) {
	i, _ := slices.BinarySearchFunc(r.crashes, c, func(a, b crash) int { return cmp.Compare(a.at, b.at) })
	r.crashes = slices.Insert(r.crashes, i, c)
	if over := len(r.crashes) - 2*t.config.Threshold; over > 0 {
		r.crashes = slices.Delete(r.crashes, 0, over)
	}
	for end := t.config.Threshold - 1; end < len(r.crashes); end++ {
		first, last := r.crashes[end-t.config.Threshold+1], r.crashes[end]
		if last.at-first.at < t.config.StrikeLife {
			r.until = max(r.until, last.at+t.config.Hold)
		}
	}
}

// makeRoom drops the least important fingerprint when the table is full.
func (t *Tracker) makeRoom(now time.Duration) {
	if len(t.records) < t.config.MaxFingerprints {
		return
	}
	var victim fleet.Fingerprint
	var worst *record
	for fingerprint, r := range t.records {
		if worst == nil || t.lessImportant(now, fingerprint, r, victim, worst) {
			victim, worst = fingerprint, r
		}
	}
	delete(t.records, victim)
}

func (t *Tracker) lessImportant(now time.Duration, fa fleet.Fingerprint, a *record, fb fleet.Fingerprint, b *record) bool {
	if qa, qb := now < a.until, now < b.until; qa != qb {
		return qb
	}
	if a.last() != b.last() {
		return a.last() < b.last()
	}
	return fa < fb
}
