// Package warmup keeps which engines are cold, and divides what a cold engine tolerates among instances.
//
// An engine is cold for some time after its start and may become cold again later. It then tolerates a few requests a
// second from all instances together and crashes at a rate well above that. It says for how long in its registration and
// in its responses. Instances don't ask each other for each request: each cold engine is served by few instances, which
// every instance computes alike from its view of the fleet, and each of them has a fixed rate.
package warmup

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/notice"
)

const (
	// MaxTime bounds the time for which an engine is cold. Engines warm up within a minute; a wrong value must not keep
	// one from its share of requests for longer.
	MaxTime = 10 * time.Minute
	// registrationDelay is the longest usual time from the writing of a registration to its arrival. One that arrives
	// within it after a response may be older than the response.
	registrationDelay = 2 * time.Second
	// significant is the smallest extension of a warm-up that is news: the time that registrations and responses are on
	// their way makes the ends that are computed from them differ.
	significant = time.Second
	// forgetAfter is how long a process is remembered after its last change.
	forgetAfter = 15 * time.Minute
	// pruneInterval is the time between two searches for such processes.
	pruneInterval = time.Minute
)

// Source is what the end of a warm-up is known from.
type Source string

// Sources, as they appear in logs.
const (
	Registration Source = "registration"
	Response     Source = "response"
	// Returned: the engine's data centre was evacuated and may be used again.
	Returned Source = "data_centre_returned"
	// Peer: another instance has learned it.
	Peer Source = "peer"
)

// process is what is known of one engine's process.
type process struct {
	incarnation  uint64
	since, until time.Duration
	source       Source
	observedAt   time.Duration
	// revision is that of the newest registration that was used.
	revision uint64
	// registered is whether that registration said that the engine is cold.
	registered bool
	// shown is whether Changed last said that the engine is cold.
	shown bool
}

// Tracker holds what is known of the warm-up of engines. Of each engine it holds the process that was last registered.
// It is not safe for concurrent use.
type Tracker struct {
	processes map[fleet.EngineID]*process
	// shown is the number of engines of which Changed last said that they are cold.
	shown int
	// nextPrune is when old processes are dropped.
	nextPrune time.Duration
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{processes: make(map[fleet.EngineID]*process)} }

// Bounded returns a time within the bounds of what an engine may name.
func Bounded(d time.Duration) time.Duration { return min(max(d, 0), MaxTime) }

// Registered records what an engine has registered at a revision of the store. A revision that is not newer than the one
// recorded is ignored: its time counted from when it was recorded first.
func (t *Tracker) Registered(now time.Duration, run notice.Run, revision uint64, coldFor time.Duration) {
	p := t.processes[run.Engine]
	if p != nil && revision <= p.revision {
		return
	}
	if p == nil || p.incarnation != run.Incarnation {
		// What the former process has said does not hold for this one.
		p = &process{incarnation: run.Incarnation, shown: p != nil && p.shown}
		t.processes[run.Engine] = p
	}
	p.revision, p.registered = revision, Bounded(coldFor) > 0
	recent := (p.source == Response || p.source == Peer) && now-p.observedAt < registrationDelay
	if until := now + Bounded(coldFor); !recent || until > p.until {
		p.set(now, until, Registration)
	}
}

// Responded records what an engine has said in a response to this instance. It reports whether the other instances should
// know: the engine is cold for longer than was known.
func (t *Tracker) Responded(now time.Duration, run notice.Run, coldFor time.Duration) (news bool) {
	p := t.process(run)
	if p == nil {
		return false
	}
	until := now + Bounded(coldFor)
	news = coldFor > 0 && until > max(p.until, now)+significant
	p.set(now, until, Response)
	return news
}

// Told records that another instance has learned for how long an engine stays cold.
func (t *Tracker) Told(now time.Duration, run notice.Run, coldFor time.Duration) {
	t.extend(now, run, now+Bounded(coldFor), Peer)
}

// Returned records that an engine may have become cold without saying so, and warms up for a time.
func (t *Tracker) Returned(now time.Duration, run notice.Run, warmUpTime time.Duration) {
	t.extend(now, run, now+Bounded(warmUpTime), Returned)
}

// Rewritten records a registration of a process of which one is known that counts as the same. It reports whether the
// other instances should know: the engine stays cold for longer.
func (t *Tracker) Rewritten(now time.Duration, run notice.Run, revision uint64, coldFor time.Duration) (news bool) {
	p := t.process(run)
	if p == nil || revision <= p.revision || now+Bounded(coldFor) <= p.until+significant {
		return false
	}
	p.revision, p.registered = revision, true
	p.set(now, now+Bounded(coldFor), Registration)
	return true
}

func (t *Tracker) extend(now time.Duration, run notice.Run, until time.Duration, source Source) {
	if p := t.process(run); p != nil && until > p.until {
		p.set(now, until, source)
	}
}

// process returns what is known of a process, or nil if it is not the engine's process any more.
func (t *Tracker) process(run notice.Run) *process {
	p := t.processes[run.Engine]
	if p == nil {
		p = &process{incarnation: run.Incarnation}
		t.processes[run.Engine] = p
	}
	if p.incarnation != run.Incarnation {
		return nil
	}
	return p
}

func (p *process) set(now, until time.Duration, source Source) {
	if now >= p.until {
		p.since = now
	}
	p.until, p.source, p.observedAt = until, source, now
}

// WarmUp is the warm-up of an engine.
type WarmUp struct {
	Since, Until time.Duration
	Source       Source
}

// Of returns the warm-up of a process, or false if it is not cold as far as it is known.
func (t *Tracker) Of(now time.Duration, run notice.Run) (WarmUp, bool) {
	p := t.processes[run.Engine]
	if p == nil || p.incarnation != run.Incarnation || now >= p.until {
		return WarmUp{}, false
	}
	return WarmUp{Since: p.since, Until: p.until, Source: p.source}, true
}

// Cold reports whether an engine's process is cold.
func (t *Tracker) Cold(now time.Duration, id fleet.EngineID) bool {
	p := t.processes[id]
	return p != nil && now < p.until
}

// MayBeRewritten reports whether an engine may register that it is cold without a change of whether it is: it is cold, or
// was by its last registration, and may have become so again since.
func (t *Tracker) MayBeRewritten(now time.Duration, id fleet.EngineID) bool {
	p := t.processes[id]
	return p != nil && (now < p.until || p.registered)
}

// Engines returns the engines that are cold, in order.
func (t *Tracker) Engines(now time.Duration) []fleet.EngineID {
	var list []fleet.EngineID
	for id, p := range t.processes {
		if now < p.until {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// Changed reports whether an engine is cold, and whether that has changed since the last call for the engine.
func (t *Tracker) Changed(now time.Duration, id fleet.EngineID) (cold, changed bool) {
	p := t.processes[id]
	if p == nil {
		return false, false
	}
	cold = now < p.until
	changed = cold != p.shown
	t.show(p, cold)
	return cold, changed
}

func (t *Tracker) show(p *process, cold bool) {
	switch {
	case cold && !p.shown:
		t.shown++
	case !cold && p.shown:
		t.shown--
	}
	p.shown = cold
}

// Ended returns the engines that have become warm by time alone since Changed last said that they are cold, in order. It
// also drops processes of which nothing was heard for long.
func (t *Tracker) Ended(now time.Duration) []fleet.EngineID {
	if now >= t.nextPrune {
		t.nextPrune = now + pruneInterval
		maps.DeleteFunc(t.processes, func(_ fleet.EngineID, p *process) bool {
			return !p.shown && now >= p.until && now-p.observedAt >= forgetAfter
		})
	}
	if t.shown == 0 {
		return nil
	}
	var list []fleet.EngineID
	for id, p := range t.processes {
		if p.shown && now >= p.until {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// Forget removes an engine without a start time that is no longer registered: its next process could not be told from
// it.
func (t *Tracker) Forget(id fleet.EngineID) {
	if p := t.processes[id]; p != nil && p.incarnation == 0 {
		t.show(p, false)
		delete(t.processes, id)
	}
}
