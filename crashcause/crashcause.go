// Package crashcause finds out which requests crash the engines that run them.
//
// A whole request may be the cause, or a part of its prompt that requests have in common. Both are
// identified by hashes, called traits here. Every crash is reported with the requests that were running
// at the engine. A trait that occurs in several crashes, and with which no request has been answered
// since, is quarantined: requests with it are refused.
//
// Most requests at a crashed engine are harmless, and so are most parts of the request that caused the
// crash. Three rules tell them apart:
//
//   - An answer clears a trait of all crashes before the answered request was sent. A trait that was
//     answered before the crashes needs more of them.
//   - A crash that a quarantined part explains counts against no other trait.
//   - Crashes of several engines at the same time count as one.
//
// Instances exchange crashes and, for traits that are close to the threshold, answers. Merging both is
// idempotent, so every instance comes to the same result in any order of arrival.
package crashcause

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Request describes a request by its traits.
type Request struct {
	// Fingerprint is the hash of the whole request.
	Fingerprint fleet.Fingerprint
	// Parts holds the hashes of the parts of the prompt that other requests may share.
	Parts []fleet.Fingerprint
}

// Crash is the end of an engine's process with requests that were running there. Several instances
// report the same crash, each with its own requests.
type Crash struct {
	Engine      fleet.EngineID
	Incarnation uint64
	// Age is the time since the crash. Clocks differ between instances, so peers exchange ages.
	Age      time.Duration
	Suspects []Request
}

// Answer states that a request with a trait was answered.
type Answer struct {
	Trait fleet.Fingerprint
	// Age is the time since the answered request was sent to its engine.
	Age time.Duration
}

// Quarantine states that requests with a trait are refused.
type Quarantine struct {
	Trait fleet.Fingerprint
	// Remaining is the time until the quarantine ends.
	Remaining time.Duration
}

// LiftedQuarantine states that the quarantine of a trait has ended because a request with it was answered.
type LiftedQuarantine struct {
	Trait fleet.Fingerprint
	// Own reports whether it was a request of this instance, so that other instances don't know yet.
	Own bool
}

// Config holds the limits of a Detector. Zero fields take the defaults.
type Config struct {
	// Threshold is the number of crashes that quarantines a trait. Default 3: two crashes with the same
	// harmless request in flight are not rare.
	Threshold int
	// AnsweredThreshold replaces Threshold for a trait that was answered before the crashes. Default 5.
	AnsweredThreshold int
	// CrashInterval is the time within which crashes count as one: engines that end together have
	// another cause in common. Default 100 ms.
	CrashInterval time.Duration
	// Memory is how long crashes and answers count. Default 2 min.
	Memory time.Duration
	// Duration is the length of a quarantine. Default 2 min.
	Duration time.Duration
	// Settle is the age from which a crash counts: until then the reports of other instances and the
	// answers that clear its traits arrive. AnsweredSettle replaces it for a trait that was answered
	// before the crashes: until then requests that were sent after the crash are answered. Defaults
	// 300 ms and 1 s.
	Settle, AnsweredSettle time.Duration
	// MaxCrashes and MaxAnswers bound the crashes and the answered traits that are remembered. Defaults
	// 128 and 4096.
	MaxCrashes, MaxAnswers int
	// Seed makes the instances of a fleet announce answers at different times.
	Seed uint64
}

func (c Config) withDefaults() Config {
	c.Threshold = cmp.Or(max(c.Threshold, 0), 3)
	c.AnsweredThreshold = cmp.Or(max(c.AnsweredThreshold, 0), 5)
	c.Memory = cmp.Or(max(c.Memory, 0), 2*time.Minute)
	c.Duration = cmp.Or(max(c.Duration, 0), 2*time.Minute)
	c.Settle = cmp.Or(max(c.Settle, 0), 300*time.Millisecond)
	c.AnsweredSettle = cmp.Or(max(c.AnsweredSettle, 0), time.Second)
	c.CrashInterval = cmp.Or(max(c.CrashInterval, 0), 100*time.Millisecond)
	c.MaxCrashes = cmp.Or(max(c.MaxCrashes, 0), 128)
	c.MaxAnswers = cmp.Or(max(c.MaxAnswers, 0), 4096)
	return c
}

type crashID struct {
	engine      fleet.EngineID
	incarnation uint64
}

// crash is a crash as merged from all reports of it.
type crash struct {
	at time.Duration
	// suspects holds the parts of each suspected request by its fingerprint.
	suspects map[fleet.Fingerprint][]fleet.Fingerprint
}

// refusal is a quarantine of a trait. It is kept for Config.Memory after its end.
type refusal struct {
	until time.Duration
	// since is the time from which an answer proves that the trait is harmless: of its first crash, or a
	// little before the quarantine was adopted.
	since time.Duration
}

// Detector holds the evidence that one instance knows. It is not safe for concurrent use.
type Detector struct {
	config   Config
	crashes  map[crashID]*crash
	answers  answerLog
	refusals map[fleet.Fingerprint]refusal
	// unevaluated is set while there is evidence that has not been evaluated since it settled. changedAt is
	// when evidence was last added, evaluatedAt when it was last evaluated.
	unevaluated            bool
	changedAt, evaluatedAt time.Duration
	// doubtful holds the traits that are close to a quarantine by the answers that all instances know,
	// with the time of the first crash that counts. announceAt holds when this instance announces its own
	// answer to such a trait.
	doubtful, announceAt map[fleet.Fingerprint]time.Duration
	// newlyQuarantined and lifted hold what happened since the last calls of NewQuarantines and Lifted.
	newlyQuarantined []fleet.Fingerprint
	lifted           []LiftedQuarantine
}

// New returns a detector without evidence.
func New(config Config) *Detector {
	config = config.withDefaults()
	return &Detector{
		config:      config,
		crashes:     make(map[crashID]*crash),
		answers:     newAnswerLog(config.MaxAnswers, config.Memory),
		refusals:    make(map[fleet.Fingerprint]refusal),
		evaluatedAt: -evaluationInterval,
		doubtful:    make(map[fleet.Fingerprint]time.Duration),
		announceAt:  make(map[fleet.Fingerprint]time.Duration),
	}
}

// Report merges a report of a crash.
func (d *Detector) Report(now time.Duration, c Crash) {
	at := now - max(c.Age, 0)
	if now-at >= d.config.Memory || len(c.Suspects) == 0 {
		return
	}
	id := crashID{c.Engine, c.Incarnation}
	merged := d.crashes[id]
	if merged == nil {
		d.dropOldestIfFull()
		merged = &crash{at: at, suspects: make(map[fleet.Fingerprint][]fleet.Fingerprint)}
		d.crashes[id] = merged
	}
	merged.at = min(merged.at, at)
	for _, suspect := range c.Suspects {
		merged.suspects[suspect.Fingerprint] = suspect.Parts
	}
	d.markChanged(now)
}

func (d *Detector) dropOldestIfFull() {
	if len(d.crashes) < d.config.MaxCrashes {
		return
	}
	var oldest crashID
	for id, c := range d.crashes {
		if known := d.crashes[oldest]; known == nil || c.at < known.at {
			oldest = id
		}
	}
	delete(d.crashes, oldest)
}

// Crashes returns the unexplained crashes, oldest first, for an instance that lacks them.
func (d *Detector) Crashes(now time.Duration) []Crash {
	var list []Crash
	for id, c := range d.crashes {
		if d.explained(c) {
			continue
		}
		merged := Crash{Engine: id.engine, Incarnation: id.incarnation, Age: now - c.at}
		for fingerprint, parts := range c.suspects {
			merged.Suspects = append(merged.Suspects, Request{fingerprint, parts})
		}
		slices.SortFunc(merged.Suspects, func(a, b Request) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
		list = append(list, merged)
	}
	slices.SortFunc(list, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// Answered records an answer to a request of this instance that was sent at a time.
func (d *Detector) Answered(now time.Duration, r Request, sentAt time.Duration) {
	for _, trait := range r.traits() {
		d.answers.own(now, trait, sentAt)
		d.lift(trait, sentAt, true)
	}
}

// MergeAnswers records answers to requests of other instances.
func (d *Detector) MergeAnswers(now time.Duration, answers []Answer) {
	for _, a := range answers {
		if a.Age < d.config.Memory {
			sentAt := now - max(a.Age, 0)
			d.answers.others(now, a.Trait, sentAt)
			d.lift(a.Trait, sentAt, false)
		}
	}
	d.markChanged(now)
}

// lift ends the quarantine of a trait with which a request was answered that was sent after its crashes
// began.
func (d *Detector) lift(trait fleet.Fingerprint, sentAt time.Duration, own bool) {
	if known, ok := d.refusals[trait]; ok && sentAt >= known.since {
		delete(d.refusals, trait)
		d.lifted = append(d.lifted, LiftedQuarantine{trait, own})
	}
}

// Lifted returns the quarantines that have ended since the last call because of an answer.
func (d *Detector) Lifted() []LiftedQuarantine {
	list := d.lifted
	d.lifted = nil
	return list
}

// Answers returns the latest known answers to the traits of unexplained crashes, sorted by trait.
func (d *Detector) Answers(now time.Duration) []Answer {
	var traits []fleet.Fingerprint
	for _, c := range d.unexplainedCrashes() {
		for trait := range c.carriers() {
			traits = append(traits, trait)
		}
	}
	slices.Sort(traits)
	return d.LatestAnswers(now, slices.Compact(traits))
}

// LatestAnswers returns the latest known answers to traits. It leaves out traits that were not answered.
func (d *Detector) LatestAnswers(now time.Duration, traits []fleet.Fingerprint) []Answer {
	var list []Answer
	for _, trait := range traits {
		if a := d.answers.get(trait); a.latest() >= 0 {
			list = append(list, Answer{Trait: trait, Age: now - a.latest()})
		}
	}
	return list
}

func compareAnswers(a, b Answer) int { return cmp.Compare(a.Trait, b.Trait) }

// Adopt quarantines a trait that is quarantined elsewhere. It reports whether the trait was not
// quarantined before.
func (d *Detector) Adopt(now time.Duration, q Quarantine) bool {
	until := now + min(q.Remaining, d.config.Duration)
	known := d.refusals[q.Trait]
	if until <= max(now, known.until) {
		return false
	}
	d.refusals[q.Trait] = refusal{until: until, since: now - d.config.Settle}
	return now >= known.until
}

// Quarantines returns the quarantines that have not ended, sorted by trait.
func (d *Detector) Quarantines(now time.Duration) []Quarantine {
	var list []Quarantine
	for trait, known := range d.refusals {
		if now < known.until {
			list = append(list, Quarantine{trait, known.until - now})
		}
	}
	slices.SortFunc(list, func(a, b Quarantine) int { return cmp.Compare(a.Trait, b.Trait) })
	return list
}

// NewQuarantines returns the traits that were quarantined since the last call because of crashes.
func (d *Detector) NewQuarantines() []fleet.Fingerprint {
	list := d.newlyQuarantined
	d.newlyQuarantined = nil
	return list
}

// Check reports whether a request must be refused, and the trait because of which.
func (d *Detector) Check(now time.Duration, r Request) (fleet.Fingerprint, bool) {
	d.evaluate(now)
	if len(d.refusals) == 0 {
		return 0, false
	}
	for _, trait := range r.traits() {
		if d.quarantined(now, trait) {
			return trait, true
		}
	}
	return 0, false
}

// Tick evaluates new evidence and drops what no longer counts.
func (d *Detector) Tick(now time.Duration) {
	d.evaluate(now)
	for id, c := range d.crashes {
		if now-c.at >= d.config.Memory {
			delete(d.crashes, id)
			d.markChanged(now)
		}
	}
	for trait, known := range d.refusals {
		if now-known.until >= d.config.Memory {
			delete(d.refusals, trait)
		}
	}
}

func (d *Detector) quarantined(now time.Duration, trait fleet.Fingerprint) bool {
	return now < d.refusals[trait].until
}

// explained reports whether a suspect of a crash has a part that is quarantined for crashes until then or
// later.
func (d *Detector) explained(c *crash) bool {
	for _, parts := range c.suspects {
		for _, part := range parts {
			if c.at < d.refusals[part].until {
				return true
			}
		}
	}
	return false
}

// traits returns the fingerprint of a request, unless it is zero, and its parts.
func (r Request) traits() []fleet.Fingerprint {
	if r.Fingerprint == 0 {
		return r.Parts
	}
	return append([]fleet.Fingerprint{r.Fingerprint}, r.Parts...)
}
