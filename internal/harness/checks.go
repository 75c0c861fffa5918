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
	// Takeover allows the share of a second home.
	Takeover bool
	// Worst is the largest ratio of load to bound seen, and Violations the number of runs
	// that were started above the bound.
	Worst      float64
	Violations int

	means []meanAt
	seen  int
}

type meanAt struct {
	at    time.Duration
	total int
}

// Watch checks a pool until the end of the session.
func (h *Harness) Watch(b *BoundCheck) {
	step := func() {}
	step = func() {
		b.sample(h.now)
		h.After(time.Millisecond, step)
	}
	step()
}

func (b *BoundCheck) sample(now time.Duration) {
	total, starts := 0, 0
	for _, e := range b.Engines {
		total += e.InFlight()
		starts += len(e.Starts)
	}
	b.means = append(b.means, meanAt{now, total})
	for b.means[0].at < now-b.Staleness {
		b.means = b.means[1:]
	}
	if starts == b.seen {
		return
	}
	b.seen = starts
	largest := 0
	for _, m := range b.means {
		largest = max(largest, m.total)
	}
	bound := math.Ceil(b.Factor * float64(largest) / float64(len(b.Engines)))
	if b.Takeover {
		bound += max(1, math.Floor(takeoverShare*bound))
	}
	for _, e := range b.Engines {
		b.Worst = max(b.Worst, float64(e.InFlight())/max(bound, 1))
		if float64(e.InFlight()) > max(bound, 1) {
			b.Violations++
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
