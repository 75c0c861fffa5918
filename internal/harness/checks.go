package harness

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Limits of the invariants, from the stated targets.
const (
	// ConfigDeadline is the longest time from the acceptance of a configuration until it is in
	// force on every instance.
	ConfigDeadline = 4 * time.Second
	// StopDeadline is the longest time after the start of a planned stop in which the engine may
	// still get new work.
	StopDeadline = 3 * time.Second
	// takeoverShare is the share by which the load bound may be exceeded during a takeover, when
	// two instances may both be the home of an engine.
	takeoverShare = 0.25
)

// BoundCheck checks the load bound of a pool of engines at every start of a run: an engine may
// have at most Factor times the mean load of the pool, rounded up.
type BoundCheck struct {
	Engines []*Engine
	Factor  float64
	// Staleness is the age that announced pool totals may have. The check uses the largest mean
	// load of that time.
	Staleness time.Duration
	// Window is the time after an instance failed, stalled, lost a link or came back in which
	// instances may disagree on which of them are live. In that time the check uses the largest
	// mean load of the window, since totals still hold runs that ended with their instance, and
	// raises the bound by takeoverShare, since a second home may admit runs.
	Window time.Duration
	// WorstRatio is the largest ratio of load to bound seen at a start of a run. Violations is
	// the number of runs that were started above the bound.
	WorstRatio float64
	Violations int
	// Details describes each violation.
	Details []string

	samples  []loadSample
	lastSeen map[*Engine]engineState
}

// loadSample holds the load of every engine at a time, in the order of BoundCheck.Engines. The
// load is -1 for an engine that is out of the pool.
type loadSample struct {
	at    time.Duration
	loads []int
}

// engineState is the state of an engine at the latest sample. A crashed engine is out of the
// pool until it starts a run again, because its home gives it no work for a time after the crash.
type engineState struct {
	starts, crashes int
	outOfPool       bool
}

// WatchBound runs a check every millisecond until the end of the session.
func (h *Harness) WatchBound(b *BoundCheck) {
	b.lastSeen = make(map[*Engine]engineState)
	var step func()
	step = func() {
		b.sample(h.Now())
		h.After(time.Millisecond, step)
	}
	step()
}

// sample records the loads, drops samples that are no longer needed and checks the engines
// that started a run since the previous sample.
func (b *BoundCheck) sample(now time.Duration) {
	var started []*Engine
	sample := loadSample{at: now, loads: make([]int, len(b.Engines))}
	for i, e := range b.Engines {
		seen := b.lastSeen[e]
		if e.Crashes > seen.crashes || !e.Up {
			seen.outOfPool = true
		}
		if len(e.RunStarts) > seen.starts && e.Up {
			seen.outOfPool = false
			started = append(started, e)
		}
		seen.crashes, seen.starts = e.Crashes, len(e.RunStarts)
		b.lastSeen[e] = seen
		sample.loads[i] = e.InFlight() + e.inTransit
		if seen.outOfPool || !e.inPool() {
			sample.loads[i] = -1
		}
	}
	b.samples = append(b.samples, sample)
	for b.samples[0].at < now-max(b.Staleness, b.Window) {
		b.samples = b.samples[1:]
	}
	b.checkStarts(started)
}

// maxMeanLoad returns the largest mean load that the homes may have computed since a time. The
// totals of different homes, and the engines in the pool, may stem from different moments, so
// it divides the sum of each engine's largest load by the number of engines that were in the
// pool throughout.
func (b *BoundCheck) maxMeanLoad(since time.Duration) float64 {
	sum, poolSize := 0, 0
	for i := range b.Engines {
		largest, smallest := 0, 0
		for _, s := range b.samples {
			if s.at >= since {
				largest = max(largest, s.loads[i])
				smallest = min(smallest, s.loads[i])
			}
		}
		sum += largest
		if smallest >= 0 {
			poolSize++
		}
	}
	return float64(sum) / float64(max(1, poolSize))
}

// inPool reports whether a running instance is the engine's home and admits runs to it.
func (e *Engine) inPool() bool {
	for _, n := range e.h.Nodes {
		if n.Running() && n.Core.Admits(e.ID) {
			return true
		}
	}
	return false
}

// checkStarts compares the loads of engines that started a run with the bound.
func (b *BoundCheck) checkStarts(started []*Engine) {
	if len(started) == 0 {
		return
	}
	h := b.Engines[0].h
	disrupted := h.lastDisruption > 0 && h.Now()-h.lastDisruption < b.Window
	since := h.Now() - b.Staleness
	if disrupted {
		since = h.Now() - b.Window
	}
	mean := b.maxMeanLoad(since)
	bound := max(1, math.Ceil(b.Factor*mean))
	if disrupted {
		bound += max(1, math.Floor(takeoverShare*bound))
	}
	for _, e := range started {
		ratio := float64(e.InFlight()) / bound
		b.WorstRatio = max(b.WorstRatio, ratio)
		if ratio > 1 {
			b.Violations++
			b.Details = append(b.Details, fmt.Sprintf("%v: engine %s runs %d, bound %.0f, mean %.2f", e.h.Now(), e.ID, e.InFlight(), bound, mean))
		}
	}
}

// Violations describes every violation of the invariants of docs/design.md that the calls,
// engines and instances of the session show. A prefix such as I3 is the number of the invariant
// in that document.
func (h *Harness) Violations() []string {
	var found []string
	add := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	for i, c := range h.Calls {
		if c.Result == Pending {
			add("call %d of %s never ended", i, c.Customer)
		}
		if c.Result == NotRun && c.Runs > 0 {
			add("I3: call %d was answered not_run (%s) and ran %d times", i, c.Code, c.Runs)
		}
		if c.Result == Complete && c.deliveredTokens != c.Tokens {
			add("I2: call %d is complete with %d of %d tokens", i, c.deliveredTokens, c.Tokens)
		}
		if c.Result == Replayed && string(c.Body) != c.Key {
			add("I2: call %d with key %s got the outcome of %q", i, c.Key, c.Body)
		}
	}
	for key, n := range h.sideEffects() {
		if n > 1 {
			add("I4: key %s took effect %d times", key, n)
		}
	}
	for _, n := range h.Nodes {
		for i := 1; i < len(n.Versions); i++ {
			if n.Versions[i] != 0 && n.Versions[i] <= n.Versions[i-1] {
				add("I7: %s went from version %d to %d", n.ID, n.Versions[i-1], n.Versions[i])
			}
		}
	}
	found = append(found, h.readyVersionViolations...)
	sort.Strings(found)
	return found
}

// readinessGrace is the time after a peer adopts a version in which another instance may still
// become ready with an older one: a heartbeat interval and the delivery of the heartbeat.
const readinessGrace = 2 * time.Second

// checkReadyVersion records a violation when an instance becomes ready with an older
// configuration than a connected peer has had for longer than readinessGrace.
func (n *Node) checkReadyVersion() {
	if !n.Ready {
		return
	}
	for _, peer := range n.h.Nodes {
		connected := n.h.openLinks[linkBetween(n.ID, peer.ID)] && !n.h.cutLinks[linkBetween(n.ID, peer.ID)]
		if peer != n && peer.Up && connected && peer.Version > n.Version && n.h.Now()-peer.versionAdoptedAt > readinessGrace {
			n.h.readyVersionViolations = append(n.h.readyVersionViolations, fmt.Sprintf("I7: %s is ready with version %d while %s has %d", n.ID, n.Version, peer.ID, peer.Version))
		}
	}
}

// sideEffects sums the side effects on all engines by idempotency key.
func (h *Harness) sideEffects() map[string]int {
	sums := make(map[string]int)
	for _, e := range h.Engines {
		for key, n := range e.SideEffects {
			sums[key] += n
		}
	}
	return sums
}

// SideEffectsOf returns the number of side effects on all engines for an idempotency key.
func (h *Harness) SideEffectsOf(key string) int { return h.sideEffects()[key] }

// AllInForce reports whether every instance that is up has a version, or a newer one, in force.
func (h *Harness) AllInForce(version uint64) bool {
	for _, n := range h.Nodes {
		if n.Up && n.Version < version {
			return false
		}
	}
	return true
}

// RunStartsAfter returns the number of runs that an engine started after a virtual time.
func (h *Harness) RunStartsAfter(id fleet.EngineID, at time.Duration) int {
	count := 0
	for _, start := range h.Engines[id].RunStarts {
		if start > at {
			count++
		}
	}
	return count
}
