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
	// ConfigDeadline is the time from acceptance until a configuration is in force everywhere.
	ConfigDeadline = 4 * time.Second
	// StopDeadline is the time from a planned stop until the engine gets no new work.
	StopDeadline = 3 * time.Second
	// takeoverShare is the extra share of the bound while two instances may be home of an engine.
	takeoverShare = 0.25
)

// BoundCheck watches the load bound of a pool at every start of a run.
type BoundCheck struct {
	Engines []*Engine
	Factor  float64
	// Staleness is the age that announced pool totals may have: the mean is the largest of
	// that time.
	Staleness time.Duration
	// Window is the time after an instance failed, stalled, lost a link or came back in which
	// instances may disagree on who is live. In it the mean is the largest of the window,
	// since totals still hold runs that ended with their entry, and a second home may admit its share.
	Window time.Duration
	// Worst is the largest ratio of load to bound seen, and Violations the number of runs
	// that were started above the bound.
	Worst      float64
	Violations int
	// Trace describes the violations.
	Trace []string

	samples []loadSample
	seen    map[*Engine]engineSeen
}

// loadSample is the load of every engine of a pool at a time, in the order of
// BoundCheck.Engines; -1 stands for an engine that is out of the pool.
type loadSample struct {
	at    time.Duration
	loads []int
}

// engineSeen is what the check knows of an engine. An engine that crashed is out of its pool
// until it is given work again, because its home holds it down.
type engineSeen struct {
	starts, crashes int
	out             bool
}

// Watch checks a pool until the end of the session.
func (h *Harness) Watch(b *BoundCheck) {
	b.seen = make(map[*Engine]engineSeen)
	var step func()
	step = func() {
		b.sample(h.now)
		h.After(time.Millisecond, step)
	}
	step()
}

func (b *BoundCheck) sample(now time.Duration) {
	var started []*Engine
	sample := loadSample{at: now, loads: make([]int, len(b.Engines))}
	for i, e := range b.Engines {
		seen := b.seen[e]
		if e.Crashes > seen.crashes || !e.Up {
			seen.out = true
		}
		if len(e.Starts) > seen.starts && e.Up {
			seen.out = false
			started = append(started, e)
		}
		seen.crashes, seen.starts = e.Crashes, len(e.Starts)
		b.seen[e] = seen
		sample.loads[i] = e.InFlight() + e.granted
		if seen.out || !e.isOpen() {
			sample.loads[i] = -1
		}
	}
	b.samples = append(b.samples, sample)
	for b.samples[0].at < now-max(b.Staleness, b.Window) {
		b.samples = b.samples[1:]
	}
	b.check(started)
}

// mean returns the largest mean load that the homes may have known within a time: the
// totals and open engines of different homes may stem from different moments of it.
func (b *BoundCheck) mean(since time.Duration) float64 {
	sum, open := 0, 0
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
			open++
		}
	}
	return float64(sum) / float64(max(1, open))
}

// isOpen reports whether a running instance is the engine's home and gives it work. Otherwise
// the engine is not part of its pool.
func (e *Engine) isOpen() bool {
	for _, n := range e.h.Nodes {
		if n.Runs() && n.Core.Admits(e.ID) {
			return true
		}
	}
	return false
}

// check compares the engines that began a run with the bound.
func (b *BoundCheck) check(started []*Engine) {
	if len(started) == 0 {
		return
	}
	h := b.Engines[0].h
	disturbed := h.disturbedAt > 0 && h.now-h.disturbedAt < b.Window
	since := h.now - b.Staleness
	if disturbed {
		since = h.now - b.Window
	}
	mean := b.mean(since)
	bound := max(1, math.Ceil(b.Factor*mean))
	if disturbed {
		bound += max(1, math.Floor(takeoverShare*bound))
	}
	for _, e := range started {
		ratio := float64(e.InFlight()) / bound
		b.Worst = max(b.Worst, ratio)
		if ratio > 1 {
			b.Violations++
			b.Trace = append(b.Trace, fmt.Sprintf("%v: engine %s runs %d, bound %.0f, mean %.2f", e.h.now, e.ID, e.InFlight(), bound, mean))
		}
	}
}

// Violations returns every breach of the invariants that can be seen in the session's calls
// and instances. The invariants are those of docs/design.md.
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
		if c.Result == Complete && c.delivered != c.Tokens {
			add("I2: call %d is complete with %d of %d tokens", i, c.delivered, c.Tokens)
		}
		if c.Result == Replayed && string(c.Body) != c.Key {
			add("I2: call %d with key %s got the outcome of %q", i, c.Key, c.Body)
		}
	}
	for key, n := range h.effects() {
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
	found = append(found, h.staleReady...)
	sort.Strings(found)
	return found
}

// readyGrace is the time for which a peer must have had a newer version before an instance
// that turns ready should have heard of it: a heartbeat interval and its delivery.
const readyGrace = 2 * time.Second

// checkReady notes an instance that turns ready with an older configuration than a peer that it hears.
func (n *Node) checkReady() {
	if !n.Ready {
		return
	}
	for _, peer := range n.h.Nodes {
		heard := n.h.links[linkOf(n.ID, peer.ID)] && !n.h.cut[linkOf(n.ID, peer.ID)]
		if peer != n && peer.Up && heard && peer.Version > n.Version && n.h.now-peer.versionAt > readyGrace {
			n.h.staleReady = append(n.h.staleReady, fmt.Sprintf("I7: %s is ready with version %d while %s has %d", n.ID, n.Version, peer.ID, peer.Version))
		}
	}
}

// effects sums the effects of all engines by idempotency key.
func (h *Harness) effects() map[string]int {
	sums := make(map[string]int)
	for _, e := range h.Engines {
		for key, n := range e.Effects {
			sums[key] += n
		}
	}
	return sums
}

// Effect returns the number of effects of an idempotency key.
func (h *Harness) Effect(key string) int { return h.effects()[key] }

// InForce reports whether every instance that is up and ready has a version in force.
func (h *Harness) InForce(version uint64) bool {
	for _, n := range h.Nodes {
		if n.Up && n.Version < version {
			return false
		}
	}
	return true
}

// StartsAfter returns the number of runs that an engine started after a time.
func (h *Harness) StartsAfter(id fleet.EngineID, at time.Duration) int {
	count := 0
	for _, start := range h.Engines[id].Starts {
		if start > at {
			count++
		}
	}
	return count
}
