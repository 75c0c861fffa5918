// Package notice keeps what engines announce in their answers: that they leave, or for how long they want
// no more requests from an instance.
//
// A notice belongs to one process of an engine. It ends when the engine is registered with another start
// time, or with its own time. That an engine leaves concerns all instances, which tell it to each other. A
// time without requests concerns only the instance that the engine has rejected.
package notice

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

const (
	// MaxQuietTime bounds the time for which an engine is left alone at its own request. Engines name
	// seconds; a wrong value must not shut one out for longer.
	MaxQuietTime = time.Minute
	// leavingLifetime is how long an engine counts as leaving after it has last said so. Engines end within
	// minutes; one that is still registered afterwards is asked again.
	leavingLifetime = 10 * time.Minute
	// quietSpread and maxQuietSpread bound the random time that is added to the end of a quiet time, as a
	// share of it and in total. Otherwise all instances would return to the engine at once.
	quietSpread    = 0.25
	maxQuietSpread = 500 * time.Millisecond
)

// Run identifies a process of an engine.
type Run struct {
	Engine fleet.EngineID
	// Incarnation differs for each start of the engine; it is 0 if unknown.
	Incarnation uint64
}

// Departure says that an engine leaves.
type Departure struct {
	Run
	// Age is the time since the engine said so. Clocks differ between instances, so they exchange ages.
	Age time.Duration
}

// Tracker holds the notices of engines. It is not safe for concurrent use.
type Tracker struct {
	// leaving holds when each engine last said that it leaves, quietUntil until when each wants no request.
	leaving    map[Run]time.Duration
	quietUntil map[Run]time.Duration
	// untold lists the departures that the other instances were not told of.
	untold []Run
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{leaving: make(map[Run]time.Duration), quietUntil: make(map[Run]time.Duration)}
}

// ObserveLeaving records that an engine has said in an answer to this instance that it leaves. It reports
// whether that was unknown.
func (t *Tracker) ObserveLeaving(now time.Duration, run Run) bool {
	if !t.recordLeaving(run, now) {
		return false
	}
	t.untold = append(t.untold, run)
	return true
}

// MergeLeaving records what an engine has said to another instance. It reports whether that was unknown.
func (t *Tracker) MergeLeaving(now time.Duration, d Departure) bool {
	at := now - max(d.Age, 0)
	return now-at < leavingLifetime && t.recordLeaving(d.Run, at)
}

func (t *Tracker) recordLeaving(run Run, at time.Duration) bool {
	last, known := t.leaving[run]
	if !known || at > last {
		t.leaving[run] = at
	}
	return !known
}

// ObserveQuiet records that an engine wants no request from this instance for a time. random is a number
// from 0 to 1 that spreads the returns of the instances. It returns when the instance may send again.
func (t *Tracker) ObserveQuiet(now time.Duration, run Run, d time.Duration, random float64) time.Duration {
	d = min(max(d, 0), MaxQuietTime)
	spread := min(quietSpread*float64(d), float64(maxQuietSpread))
	t.quietUntil[run] = max(t.quietUntil[run], now+d+time.Duration(random*spread))
	return t.quietUntil[run]
}

// Leaving reports whether an engine has said that it leaves.
func (t *Tracker) Leaving(run Run) bool {
	_, leaving := t.leaving[run]
	return leaving
}

// QuietUntil returns until when an engine wants no request from this instance; 0 if it never said so.
func (t *Tracker) QuietUntil(run Run) time.Duration { return t.quietUntil[run] }

// HasUntold reports whether TakeUntold would return departures.
func (t *Tracker) HasUntold() bool { return len(t.untold) > 0 }

// TakeUntold returns the departures that the other instances were not told of since the last call.
func (t *Tracker) TakeUntold(now time.Duration) []Departure {
	var list []Departure
	for _, run := range t.untold {
		if at, known := t.leaving[run]; known {
			list = append(list, Departure{Run: run, Age: now - at})
		}
	}
	t.untold = nil
	return list
}

// Departures returns all engines that leave, in order of engine, for an instance that lacks them.
func (t *Tracker) Departures(now time.Duration) []Departure {
	list := make([]Departure, 0, len(t.leaving))
	for run, at := range t.leaving {
		list = append(list, Departure{Run: run, Age: now - at})
	}
	slices.SortFunc(list, func(a, b Departure) int {
		return cmp.Or(cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// Forget removes the notices of an engine without a start time that is no longer registered: its next
// process could not be told from it.
func (t *Tracker) Forget(id fleet.EngineID) {
	delete(t.leaving, Run{Engine: id})
	delete(t.quietUntil, Run{Engine: id})
}

// Expire removes the notices whose time is over. It reports whether an engine no longer counts as leaving.
func (t *Tracker) Expire(now time.Duration) bool {
	for run, until := range t.quietUntil {
		if now >= until {
			delete(t.quietUntil, run)
		}
	}
	ended := false
	for run, at := range t.leaving {
		if now-at >= leavingLifetime {
			delete(t.leaving, run)
			ended = true
		}
	}
	return ended
}
