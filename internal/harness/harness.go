// Package harness steps several reducers in virtual time over in-memory fakes of the
// network, the platform, engines and callers. One seed gives one session: the fault matrix
// and the benchmarks of decisions are built on it.
package harness

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/core"
)

// epoch is the wall-clock time at the start of every session.
var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// Config describes a session.
type Config struct {
	Seed uint64
	// Tick is the time between ticks of a reducer. Default 10 ms.
	Tick time.Duration
	// Latency is the one-way time between instances. Default 500 us.
	Latency time.Duration
	// StoreLatency is the time of a call to the platform. Default 3 ms.
	StoreLatency time.Duration
	// Core is the template of the reducers' configuration.
	Core core.Config
}

// Harness is a session in progress.
type Harness struct {
	Config  Config
	Rand    *rand.Rand
	Store   *Store
	Engines map[fleet.EngineID]*Engine
	Nodes   []*Node
	// Listed is the true list of instances; Store serves it with a lag.
	Calls []*Call
	Bytes Traffic
	// Events counts the events handled by all reducers.
	Events int
	// OnStart, if set, is called at the start of each run on an engine.
	OnStart func(*Engine)

	now   time.Duration
	queue eventQueue
	seq   uint64
	links map[link]bool
	cut   map[link]bool
	// duplicateUntil is the time until which messages are delivered twice, the second time late.
	duplicateUntil time.Duration
	staleReady     []string
	// disturbedAt is the last time at which an instance or a link failed or came back.
	disturbedAt time.Duration
}

// New returns a session at time zero without instances and engines.
func New(config Config) *Harness {
	setDefault(&config.Tick, 10*time.Millisecond)
	setDefault(&config.Latency, 500*time.Microsecond)
	setDefault(&config.StoreLatency, 3*time.Millisecond)
	h := &Harness{
		Config:  config,
		Rand:    rand.New(rand.NewPCG(config.Seed, 1)),
		Engines: make(map[fleet.EngineID]*Engine),
		links:   make(map[link]bool),
		cut:     make(map[link]bool),
	}
	h.Store = newStore(h)
	h.Bytes.init()
	return h
}

func setDefault(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

// Now returns the virtual time since the start of the session.
func (h *Harness) Now() time.Duration { return h.now }

// Wall returns the virtual wall-clock time.
func (h *Harness) Wall() time.Time { return epoch.Add(h.now) }

// WallAt returns the wall-clock time of a virtual time.
func (h *Harness) WallAt(at time.Duration) time.Time { return epoch.Add(at) }

// After runs an action after a delay.
func (h *Harness) After(d time.Duration, action func()) {
	h.seq++
	heap.Push(&h.queue, scheduled{at: h.now + d, seq: h.seq, action: action})
}

// Run advances the session by d.
func (h *Harness) Run(d time.Duration) {
	end := h.now + d
	for len(h.queue) > 0 && h.queue[0].at <= end {
		next := heap.Pop(&h.queue).(scheduled)
		h.now = next.at
		next.action()
	}
	h.now = end
}

// RunUntil advances the session until a condition holds, at most by limit. It reports
// whether the condition holds.
func (h *Harness) RunUntil(limit time.Duration, condition func() bool) bool {
	end := h.now + limit
	for !condition() {
		if h.now >= end {
			return false
		}
		h.Run(h.Config.Tick)
	}
	return true
}

type scheduled struct {
	at     time.Duration
	seq    uint64
	action func()
}

type eventQueue []scheduled

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduled)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
