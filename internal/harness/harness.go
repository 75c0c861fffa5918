// Package harness simulates a fleet in one process: it steps several reducers (core.Core) in
// virtual time over in-memory fakes of the network, the platform, engines and callers.
// Sessions are deterministic: the same seed and the same calls give the same session. The
// fault matrix and the benchmarks of routing decisions are built on it.
package harness

import (
	"math/rand/v2"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/virtualtime"
)

// epoch is the wall-clock time at the start of every session.
var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// Config holds the parameters of a session.
type Config struct {
	Seed uint64
	// Tick is the interval between the ticks of a reducer. Default 10 ms.
	Tick time.Duration
	// Latency is the one-way network latency between instances, and between an instance and
	// an engine. Default 500 us.
	Latency time.Duration
	// StoreLatency is the base duration of a call to the platform. Default 3 ms.
	StoreLatency time.Duration
	// Core is the template for the configuration of every reducer.
	Core core.Config
}

// Harness is a running session.
type Harness struct {
	virtualtime.Clock
	Config  Config
	Rand    *rand.Rand
	Store   *Store
	Engines map[fleet.EngineID]*Engine
	Nodes   []*Node
	// Calls holds every call in the order of submission.
	Calls []*Call
	// PeerTraffic counts the peer traffic of all instances.
	PeerTraffic Traffic
	// Events counts the events handled by all reducers.
	Events int
	// OnRunStart, if set, is called at the start of each run on an engine.
	OnRunStart func(*Engine)

	openLinks map[link]bool
	cutLinks  map[link]bool
	// duplicateUntil is the time until which messages are delivered twice, the second time late.
	duplicateUntil time.Duration
	// readyVersionViolations describes the violations found by checkReadyVersion.
	readyVersionViolations []string
	// lastDisruption is the last time at which an instance or a link failed or recovered.
	lastDisruption time.Duration
}

// New returns a session at time zero without instances and engines.
func New(config Config) *Harness {
	setDefault(&config.Tick, 10*time.Millisecond)
	setDefault(&config.Latency, 500*time.Microsecond)
	setDefault(&config.StoreLatency, 3*time.Millisecond)
	h := &Harness{
		Config:    config,
		Rand:      rand.New(rand.NewPCG(config.Seed, 1)),
		Engines:   make(map[fleet.EngineID]*Engine),
		openLinks: make(map[link]bool),
		cutLinks:  make(map[link]bool),
	}
	h.Store = newStore(h)
	h.PeerTraffic.init()
	return h
}

func setDefault(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

// WallTime returns the present time on the virtual wall clock.
func (h *Harness) WallTime() time.Time { return epoch.Add(h.Now()) }

// WallTimeAt returns the wall-clock time of a virtual time.
func (h *Harness) WallTimeAt(at time.Duration) time.Time { return epoch.Add(at) }

// RunUntil advances virtual time tick by tick until a condition holds or limit has passed. It
// reports whether the condition holds.
func (h *Harness) RunUntil(limit time.Duration, condition func() bool) bool {
	end := h.Now() + limit
	for !condition() {
		if h.Now() >= end {
			return false
		}
		h.Run(h.Config.Tick)
	}
	return true
}
