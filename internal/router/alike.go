package router

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

const (
	// answerSlice and answerSlices are the length and the number of the slices in which the answers of engines are
	// counted: two seconds show failures of four seconds early, and their end before requests have waited long.
	answerSlice  = 500 * time.Millisecond
	answerSlices = 4
	// alikeShare is the share of failures from which an engine, and a service, counts as failing.
	alikeShare = 0.25
	// alikeEngines is the share of the engines that would show failures if all failed alike from which a service
	// counts as failing.
	alikeEngines = 0.5
	// alikeMinAnswers is the number of answers from which a service can count as failing.
	alikeMinAnswers = 8
)

// alikeFailures detects that most engines of a service fail alike. Another engine is then no better than the first,
// and a retry succeeds more likely when the failures have ended.
type alikeFailures struct {
	engines map[fleet.EngineID]*engineAnswers
	slice   int64
	// changed reports whether an answer was counted since the last update.
	changed bool
	// active reports whether most engines fail alike.
	active bool
}

// engineAnswers counts answers and failures by slice number modulo answerSlices.
type engineAnswers struct {
	answers, failures [answerSlices]int
}

// alikeShares describes the answers of a service's engines in the last seconds.
type alikeShares struct {
	answers, failures int
	// engines counts those with answers, failing those of which alikeShare failed, and expected those of which
	// alikeShare would fail if all engines failed alike.
	engines, failing int
	expected         float64
}

// alike reports whether most engines fail alike.
func (s alikeShares) alike() bool {
	return s.engines >= 2 && s.answers >= alikeMinAnswers && float64(s.failures) >= alikeShare*float64(s.answers) &&
		float64(s.failing) >= alikeEngines*s.expected
}

// add counts an answer of an engine.
func (a *alikeFailures) add(now time.Duration, id fleet.EngineID, failed bool) {
	a.advance(now)
	if a.engines == nil {
		a.engines = make(map[fleet.EngineID]*engineAnswers)
	}
	e := a.engines[id]
	if e == nil {
		e = &engineAnswers{}
		a.engines[id] = e
	}
	e.answers[a.slice%answerSlices]++
	if failed {
		e.failures[a.slice%answerSlices]++
	}
	a.changed = true
}

// advance clears the slices that are over, and the engines without answers.
func (a *alikeFailures) advance(now time.Duration) {
	current := int64(now / answerSlice)
	if current == a.slice {
		return
	}
	for id, e := range a.engines {
		for n := min(current-a.slice, answerSlices); n > 0; n-- {
			i := (current - n + 1) % answerSlices
			e.answers[i], e.failures[i] = 0, 0
		}
		if e.answers == [answerSlices]int{} {
			delete(a.engines, id)
		}
	}
	a.slice, a.changed = current, true
}

// update sets active and returns the shares that decide it. It returns false if they have not changed.
func (a *alikeFailures) update(now time.Duration) (alikeShares, bool) {
	a.advance(now)
	if !a.changed {
		return alikeShares{}, false
	}
	a.changed = false
	shares := a.shares()
	a.active = shares.alike()
	return shares, true
}

func (a *alikeFailures) shares() alikeShares {
	var s alikeShares
	answersOf := make([]int, 0, len(a.engines))
	for _, e := range a.engines {
		answers, failures := 0, 0
		for i := range answerSlices {
			answers += e.answers[i]
			failures += e.failures[i]
		}
		s.answers += answers
		s.failures += failures
		if float64(failures) >= alikeShare*float64(answers) {
			s.failing++
		}
		answersOf = append(answersOf, answers)
	}
	s.engines = len(answersOf)
	if s.failures == 0 {
		return s
	}
	// An engine that gave this instance few answers may have failed none of them by chance.
	slices.Sort(answersOf)
	success := 1 - float64(s.failures)/float64(s.answers)
	previous, expected := 0, 0.0
	for _, n := range answersOf {
		if n != previous {
			previous, expected = n, 1-math.Pow(success, float64(n))
		}
		s.expected += expected
	}
	return s
}

// recordAlike counts the outcome of an attempt that reached an engine. Rejections for which the engine names a rate
// or a time are left out: another engine may have room.
func (r *Router) recordAlike(c *call, ev AttemptEnded) {
	pool := r.pools[c.service]
	if pool == nil || !r.cfg.LoadControl {
		return
	}
	if ev.Outcome == Completed || failsAlike(ev) {
		pool.alike.add(r.now, c.engine, ev.Outcome != Completed || ev.Failed)
	}
}

// failsAlike reports whether an attempt ended with a failure that other engines may share.
func failsAlike(ev AttemptEnded) bool {
	switch ev.Outcome {
	case Errored, Broken, Stalled:
		return true
	case Rejected:
		return ev.Report == nil || ev.Report.RateLimit == nil && ev.Report.QuietFor <= 0
	}
	return false
}

// tickAlike updates which services fail alike and logs the changes.
func (r *Router) tickAlike() {
	for _, id := range slices.Sorted(maps.Keys(r.pools)) {
		pool := r.pools[id]
		was := pool.alike.active
		shares, changed := pool.alike.update(r.now)
		if !changed || was == pool.alike.active {
			continue
		}
		kind := "service_recovered"
		if pool.alike.active {
			kind = "service_failing"
		}
		r.emit(Decision{Kind: kind, Fields: []any{"service", id, "answers", shares.answers, "failures", shares.failures,
			"engines", shares.engines, "failing", shares.failing}})
	}
}
