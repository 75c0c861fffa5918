package router

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/versions"
)

// scratch returns a copy of the router that handles CallArrived as the router would at time now, and leaves it unchanged.
// The copy shares what the arrival of a request only reads, such as the copy of the store, the registry and what peers
// said, so it must not handle other events. TestScratchSharesNothingThatChanges lists what is shared.
func (r *Router) scratch(now time.Duration) *Router {
	s := *r
	s.now, s.effects = now, nil
	state := *r.rngState
	s.rngState, s.rng = &state, rand.New(&state)
	s.pools = make(map[fleet.ServiceID]*servicePool, len(r.pools))
	copies := make(map[*servicePool]*servicePool, len(r.pools))
	for id, pool := range r.pools {
		copied := *pool
		copied.engines = pool.engines.Clone(s.rng)
		s.pools[id], copies[pool] = &copied, &copied
	}
	s.routes = make(map[string]*routeStats, len(r.routes))
	for name, stats := range r.routes {
		copied := *stats
		s.routes[name] = &copied
	}
	s.calls = make(map[CallID]*call, len(r.calls))
	for id, c := range r.calls {
		// The arrival of a request may send or refuse those that wait.
		copied := *c
		copied.pool = copies[c.pool]
		if c.beside != nil {
			beside := *c.beside
			beside.pool = copies[beside.pool]
			copied.beside = &beside
		}
		s.calls[id] = &copied
	}
	s.awaitingConfig = nil
	s.waiting.queue, s.waiting.refusals = r.waiting.queue.Clone(), r.waiting.refusals.Clone()
	s.poison.detector = r.poison.detector.CloneForCheck()
	s.tokens.pending = maps.Clone(r.tokens.pending)
	s.delayed.pending = maps.Clone(r.delayed.pending)
	s.streams.searches = maps.Clone(r.streams.searches)
	s.streams.keeping.loads = make(map[versions.Partition]*originLoad)
	return &s
}
