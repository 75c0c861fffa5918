package router

import (
	"strconv"
	"strings"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/placement"
	"github.com/bilberrywell/bilberrywell/replica"
	"github.com/bilberrywell/bilberrywell/retry"
	"github.com/bilberrywell/bilberrywell/routing"
)

// storeState is what the instance knows of its access to the store.
type storeState struct {
	// watching tells that this instance reads changes itself.
	watching bool
	// rank is the instance's place among the watchers, 0 for the first.
	rank   int
	lost   bool
	lostAt time.Duration
	// listed tells that this instance has listed the keys at least once.
	listed bool
	// readAt is when this instance last read the store.
	readAt time.Duration
}

func (r *Router) keysListed(ev KeysListed) {
	r.storeBack()
	fresh := r.facts.Reset(ev.Prefix, ev.Facts, ev.At)
	r.learn(fresh)
	// The first list of a process is news to itself only.
	if r.store.listed {
		r.relay(fresh)
	}
	r.store.listed = true
	r.updateReady()
}

func (r *Router) keysChanged(ev KeysChanged) {
	r.storeBack()
	fresh := r.facts.Merge(ev.Facts)
	r.learn(fresh)
	r.relay(fresh)
}

func (r *Router) storeBack() {
	if r.store.lost {
		r.emit(Note{Kind: "store_regained", Fields: []any{"after_ms", (r.now - r.store.lostAt).Milliseconds()}})
	}
	r.store.lost = false
	r.store.readAt = r.now
	r.registry.StoreBack(r.now)
}

func (r *Router) storeLost(ev StoreLost) {
	if !r.store.lost {
		r.store.lost = true
		r.store.lostAt = r.now
		r.emit(Note{Kind: "store_lost", Fields: []any{"error", errorText(ev.Err)}})
	}
	// A peer that still reads the store tells of removals that are real, so that registrations
	// are only suspended when nobody reads it.
	if !r.anyPeerReads() {
		r.registry.StoreLost()
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// meaning returns the hash of what a value says. Engines write their registration again and again
// with a new count, which is no news: at 3,000 engines it would be 2,500 changes a second.
func (r *Router) meaning(key string, value []byte) uint64 {
	if _, registrations := r.cfg.Format.Prefixes(); strings.HasPrefix(key, registrations) {
		if e, err := r.cfg.Format.Engine(key, value); err == nil {
			return fleet.Hash(string(e.Service), e.Addr, string(e.DataCentre), strconv.Itoa(e.Slots),
				strconv.FormatBool(e.Draining), strconv.FormatInt(e.Born, 10))
		}
	}
	return fleet.Hash(string(value))
}

// learn applies facts that are new to this instance.
func (r *Router) learn(fresh []replica.Fact) {
	configKey, registrations := r.cfg.Format.Prefixes()
	engines, peers := false, false
	for _, f := range fresh {
		switch {
		case f.Key == configKey:
			r.configurationFact(f)
		case strings.HasPrefix(f.Key, registrations):
			engines = r.registrationFact(f) || engines
		case strings.HasPrefix(f.Key, InstancePrefix):
			peers = true
		}
	}
	if engines {
		r.rebuildPools()
	}
	if peers {
		r.planLinks()
	}
}

// configurationFact puts a newer configuration in force. The last good one stays when it can't be used.
func (r *Router) configurationFact(f replica.Fact) {
	if f.Deleted {
		r.emit(Note{Kind: "configuration_rejected", Fields: []any{"revision", f.Revision, "error", "deleted"}})
		return
	}
	config, err := r.cfg.Format.Configuration(f.Value)
	if err != nil {
		r.emit(Note{Kind: "configuration_rejected", Fields: []any{"revision", f.Revision, "error", err.Error()}})
		return
	}
	if r.table != nil && config.Version <= r.table.Version {
		r.emit(Note{Kind: "configuration_rejected", Fields: []any{"version", config.Version, "error", "older than the one in force"}})
		return
	}
	table, findings := routing.Compile(config)
	for _, finding := range findings {
		r.emit(Note{Kind: "configuration_finding", Fields: []any{"version", config.Version, "finding", finding.String()}})
	}
	r.table = table
	r.emit(ConfigInForce{Table: table})
	r.emit(Note{Kind: "configuration_in_force", Fields: []any{"version", config.Version, "revision", f.Revision}})
	r.rebuildPools()
	r.updateReady()
}

// registrationFact takes a registration. It reports whether engines changed.
func (r *Router) registrationFact(f replica.Fact) bool {
	_, prefix := r.cfg.Format.Prefixes()
	id := fleet.EngineID(strings.TrimPrefix(f.Key, prefix))
	if f.Deleted {
		return r.removeEngine(id, "unregistered")
	}
	engine, err := r.cfg.Format.Engine(f.Key, f.Value)
	if err != nil {
		r.emit(Note{Kind: "registration_rejected", Fields: []any{"key", f.Key, "revision", f.Revision, "error", err.Error()}})
		return r.removeEngine(id, "unreadable")
	}
	if !r.registry.Put(engine) {
		return false
	}
	r.emit(Note{Kind: "engine_registered", Fields: []any{"engine", id, "service", engine.Service, "addr", engine.Addr,
		"draining", engine.Draining, "revision", f.Revision}})
	return true
}

func (r *Router) removeEngine(id fleet.EngineID, reason string) bool {
	engine, known := r.registry.Get(id)
	gone := r.registry.Remove(r.now, id)
	if known {
		r.emit(Note{Kind: "engine_removed", Fields: []any{"engine", id, "reason", reason, "suspended", !gone}})
	}
	if gone {
		r.forgetEngine(engine.Addr, id)
	}
	return gone
}

func (r *Router) forgetEngine(addr string, id fleet.EngineID) {
	delete(r.poison.broken, id)
	r.emit(EngineGone{Addr: addr})
}

// expelledFor is how long an engine whose address belongs to another one stays away although it is
// registered. The registration of an engine that is gone is removed after three heartbeats of 1.2 s.
const expelledFor = 4 * time.Second

// expel drops an engine whose address belongs to another one.
func (r *Router) expel(id fleet.EngineID) {
	engine, _ := r.registry.Get(id)
	if r.registry.Expel(id) {
		r.expelled[id] = r.now + expelledFor
		r.emit(Note{Kind: "engine_removed", Fields: []any{"engine", id, "reason", "address taken"}})
		r.forgetEngine(engine.Addr, id)
		r.rebuildPools()
	}
}

// readmit takes expelled engines back that are still registered.
func (r *Router) readmit() {
	_, prefix := r.cfg.Format.Prefixes()
	changed := false
	for id, at := range r.expelled {
		if r.now < at {
			continue
		}
		delete(r.expelled, id)
		if f, ok := r.facts.Get(prefix + string(id)); ok {
			changed = r.registrationFact(f) || changed
		}
	}
	if changed {
		r.rebuildPools()
	}
}

func (r *Router) engineUnreachable(id fleet.EngineID) {
	engine, ok := r.registry.Get(id)
	if !ok {
		return
	}
	if pool := r.pools[engine.Service]; pool != nil {
		pool.engines.Failed(r.now, id, placement.Unreachable, 0)
	}
	r.emit(Note{Kind: "engine_paused", Fields: []any{"engine", id, "failure", placement.Unreachable.String()}})
	r.emit(EngineGone{Addr: engine.Addr})
	r.crashed(id)
}

// rebuildPools derives the pools from the configuration and the registrations.
func (r *Router) rebuildPools() {
	if r.table == nil {
		return
	}
	pools := make(map[fleet.ServiceID]*servicePool)
	for _, id := range r.table.Services() {
		pool := r.pools[id]
		if pool == nil {
			pool = &servicePool{engines: placement.New(placement.Config{LoadFactor: r.cfg.LoadFactor}, r.rng)}
		}
		var engines []placement.Engine
		for _, e := range r.registry.Service(id) {
			engines = append(engines, placement.Engine{ID: e.ID, Addr: e.Addr, DataCentre: e.DataCentre, Slots: e.Slots, Draining: e.Draining})
		}
		pool.engines.SetEngines(r.now, engines)
		pools[id] = pool
	}
	r.pools = pools
	r.shareBudgets()
	r.shareLoads()
}

// budgetMargin keeps the sum of all instances' extra attempts under the fleet's bound although
// their windows do not begin at the same time.
const budgetMargin = 0.8

// shareBudgets divides the fleet's budget for extra attempts among the live instances.
func (r *Router) shareBudgets() {
	for _, pool := range r.pools {
		w := retry.Window{Length: r.cfg.RetryWindow}
		if pool.budget.Length == w.Length {
			w = pool.budget
		}
		w.Ratio = budgetMargin * r.cfg.RetryRatio
		w.Reserve = budgetMargin * r.cfg.RetryReserve / float64(len(r.members.linked)+1)
		pool.budget = w
	}
}

// informed reports whether the instance knows a configuration and engines, from the store or from
// peers.
func (r *Router) informed() bool {
	return r.table != nil && (r.store.listed || r.registry.Len() > 0)
}

// updateReady reports ready once requests can be routed.
func (r *Router) updateReady() {
	if r.informed() {
		r.beginEarly()
	}
	ready := r.informed() && !r.drain.active
	if ready != r.ready {
		r.ready = ready
		r.emit(SetReady{Ready: ready})
		r.emit(Note{Kind: "readiness", Fields: []any{"ready", ready}})
	}
}

// tickStore drops engines whose registrations did not come back.
func (r *Router) tickStore() {
	r.readmit()
	gone := r.registry.Tick(r.now)
	for _, id := range gone {
		r.emit(Note{Kind: "engine_removed", Fields: []any{"engine", id, "reason", "lapsed"}})
	}
	if len(gone) > 0 {
		r.rebuildPools()
	}
}
