package router

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/placement"
	"github.com/bilberrywell/bilberrywell/replica"
	"github.com/bilberrywell/bilberrywell/retry"
	"github.com/bilberrywell/bilberrywell/routing"
)

// storeState is the state of this instance's access to the store.
type storeState struct {
	// watching reports whether this instance reads changes from the store itself.
	watching bool
	// retryInterval is the pace at which a lost store is tried again, beyond the usual backoff.
	retryInterval time.Duration
	// watchingSince is when this instance last began or ceased to read changes.
	watchingSince time.Duration
	// rank is the instance's position in the order of watchers, 0 for the first and watcherCount for
	// instances that don't watch.
	rank   int
	lost   bool
	lostAt time.Duration
	// listed reports whether this instance has listed the keys at least once.
	listed bool
	// readAt is when this instance last read the store, currentAt the latest time as of which its copy is known
	// to be current, or never.
	readAt    time.Duration
	currentAt time.Duration
	// nextReadNotice is when peers are told next that this instance reads the store. readBefore is when an instance
	// that precedes this one in the order of watchers last read it, or never.
	nextReadNotice, readBefore time.Duration
	// nextSuccessorNotice is when the instances that would take over are told next.
	nextSuccessorNotice time.Duration
	// era is the store's era as of the newest facts.
	era uint64
	// settling is set from the restore of the store until settledAt, when what it holds counts again. relist is
	// set if this instance lists the keys again then.
	settling  bool
	settledAt time.Duration
	relist    bool
}

// ownPrefix precedes the keys that instances write and exchange.
const ownPrefix = "bilberrywell/"

// factPrefixes returns the prefixes of the keys that instances exchange.
func factPrefixes(decoder StoreDecoder) []string {
	configuration, registrations := decoder.Prefixes()
	return []string{configuration, registrations, decoder.EvacuationPrefix(), ownPrefix}
}

// exchanged returns the facts that instances exchange. Other keys, such as those with origins of streams, are left out.
func (r *Router) exchanged(facts []replica.Fact) []replica.Fact {
	prefixes := factPrefixes(r.cfg.StoreDecoder)
	other := func(f replica.Fact) bool {
		return !slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(f.Key, prefix) })
	}
	if !slices.ContainsFunc(facts, other) {
		return facts
	}
	return slices.DeleteFunc(slices.Clone(facts), other)
}

func (r *Router) keysListed(ev KeysListed) {
	r.storeReachable()
	ev.Facts = r.exchanged(ev.Facts)
	r.numberConfigurations(ev.Facts)
	restored := r.enterEra(ev.AtRevision)
	r.poison.storing.listed(ev.Facts)
	changed := r.mergeList(ev)
	r.applyFacts(changed)
	// The first list after a start is new only to this instance, so it is not relayed.
	if r.store.listed {
		r.relay(changed)
	}
	r.store.listed = true
	r.announceRead()
	if restored {
		// Peers learn the new era from the revision in the report.
		r.sendStatusReport("")
	}
	r.updateReady()
}

func (r *Router) keysChanged(ev KeysChanged) {
	r.storeReachable()
	ev.Facts = r.exchanged(ev.Facts)
	r.numberConfigurations(ev.Facts)
	changed := r.replica.Merge(ev.Facts)
	r.applyFacts(changed)
	r.warmUpsRewritten(ev.Facts)
	r.relay(changed)
	r.announceRead()
}

func (r *Router) storeReachable() {
	if r.store.lost {
		r.emit(Decision{Kind: "store_regained", Fields: []any{"after_ms", (r.now - r.store.lostAt).Milliseconds()}})
	}
	r.store.lost = false
	r.store.readAt, r.store.currentAt = r.now, r.now
	r.registry.StoreRegained(r.now)
}

func (r *Router) storeLost(ev StoreLost) {
	if !r.store.lost {
		r.store.lost = true
		r.store.lostAt = r.now
		r.emit(Decision{Kind: "store_lost", Fields: []any{"error", errorText(ev.Err)}})
	}
	// A peer that still reads the store relays valid removals, so removals are only suspended while no
	// peer reads it.
	if !r.anyPeerReadsStore() {
		r.registry.StoreLost()
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// contentHash returns a hash of the parts of a value whose change matters. Engines rewrite their
// registration at every heartbeat with a new sequence number. The hash omits it, because 3,000 engines
// would otherwise cause 2,500 changes a second.
func (r *Router) contentHash(key string, value []byte) uint64 {
	if _, registrations := r.cfg.StoreDecoder.Prefixes(); strings.HasPrefix(key, registrations) {
		if e, err := r.cfg.StoreDecoder.Engine(key, value); err == nil {
			return fleet.Hash(string(e.Service), e.Addr, string(e.DataCentre), strconv.Itoa(e.Slots),
				strconv.FormatBool(e.Draining), strconv.FormatInt(e.StartedAtMillis, 10), strconv.FormatBool(e.ColdFor > 0), string(e.Version))
		}
	}
	return fleet.Hash(string(value))
}

// applyFacts applies changed facts to the configuration, the engines and the planned links.
func (r *Router) applyFacts(changed []replica.Fact) {
	configKey, registrations := r.cfg.StoreDecoder.Prefixes()
	enginesChanged, instancesChanged := false, false
	for _, f := range changed {
		switch {
		case f.Key == configKey:
			r.applyConfiguration(f)
		case strings.HasPrefix(f.Key, registrations):
			enginesChanged = r.applyRegistration(f) || enginesChanged
		case r.isEvacuation(f.Key):
			enginesChanged = r.applyEvacuation(f) || enginesChanged
		case strings.HasPrefix(f.Key, InstancePrefix):
			instancesChanged = true
		case strings.HasPrefix(f.Key, QuarantinePrefix):
			r.applyQuarantine(f)
		case strings.HasPrefix(f.Key, VersionsPrefix):
			enginesChanged = r.applyVersions(f) || enginesChanged
		}
	}
	if enginesChanged {
		r.rebuildPools()
	}
	if instancesChanged {
		r.planPeers()
	}
}

// applyConfiguration puts a newer configuration in force. The current one stays in force if the new one
// is deleted, invalid or older.
func (r *Router) applyConfiguration(f replica.Fact) {
	if f.Deleted {
		r.emit(Decision{Kind: "configuration_rejected", Fields: []any{"revision", replica.FormatRevision(f.Revision), "error", "deleted"}})
		return
	}
	config, err := r.cfg.StoreDecoder.Configuration(f.Value)
	if err != nil {
		r.emit(Decision{Kind: "configuration_rejected", Fields: []any{"revision", replica.FormatRevision(f.Revision), "error", err.Error()}})
		return
	}
	if r.table != nil && config.Version <= r.table.Version {
		r.emit(Decision{Kind: "configuration_rejected", Fields: []any{"version", config.Version, "error", "older than the one in force"}})
		return
	}
	table, findings := routing.Compile(config)
	for _, finding := range findings {
		r.emit(Decision{Kind: "configuration_finding", Fields: []any{"version", config.Version, "finding", finding.String()}})
	}
	r.table = table
	r.setOriginLife()
	r.emit(ConfigInForce{Table: table})
	r.emit(Decision{Kind: "configuration_in_force", Fields: []any{"version", config.Version, "revision", replica.FormatRevision(f.Revision)}})
	r.rebuildPools()
	r.updateReady()
}

// applyRegistration adds, updates or removes an engine. It reports whether the engines changed.
func (r *Router) applyRegistration(f replica.Fact) bool {
	_, prefix := r.cfg.StoreDecoder.Prefixes()
	id := fleet.EngineID(strings.TrimPrefix(f.Key, prefix))
	if f.Deleted {
		return r.removeEngine(id, "unregistered")
	}
	engine, err := r.cfg.StoreDecoder.Engine(f.Key, f.Value)
	if err != nil {
		r.emit(Decision{Kind: "registration_rejected", Fields: []any{"key", f.Key, "revision", replica.FormatRevision(f.Revision), "error", err.Error()}})
		return r.removeUnreadable(id)
	}
	if engine.Finding != "" {
		r.emit(Decision{Kind: "registration_finding", Fields: []any{"key", f.Key, "revision", replica.FormatRevision(f.Revision), "finding", engine.Finding}})
	}
	changed := r.registry.Put(r.now, engine)
	r.warmUpRegistered(engine, f.Revision)
	if !changed {
		return false
	}
	engine, _ = r.registry.Get(id)
	r.emit(Decision{Kind: "engine_registered", Fields: []any{"engine", id, "service", engine.Service, "addr", engine.Addr,
		"draining", engine.Draining, "revision", replica.FormatRevision(f.Revision)}})
	return true
}

// removeUnreadable removes an engine whose entry was replaced by one that names no engine. Unlike a missing
// entry, which may only have expired, this one was written, so the engine gets no new requests until it
// registers again. What it runs goes on.
func (r *Router) removeUnreadable(id fleet.EngineID) bool {
	engine, _ := r.registry.Get(id)
	if !r.registry.RemoveNow(id) {
		return false
	}
	r.emit(Decision{Kind: "engine_removed", Fields: []any{"engine", id, "reason", "unreadable", "suspended", false}})
	r.forgetEngine(engine.Addr, id)
	return true
}

// removeEngine removes an engine whose registration is missing. It returns false if the
// engine is unknown, or is only suspended because the store is unreachable or was until recently.
func (r *Router) removeEngine(id fleet.EngineID, reason string) bool {
	engine, known := r.registry.Get(id)
	removed := r.registry.Remove(r.now, id)
	if known {
		r.emit(Decision{Kind: "engine_removed", Fields: []any{"engine", id, "reason", reason, "suspended", !removed}})
	}
	if removed {
		r.forgetEngine(engine.Addr, id)
	}
	return removed
}

func (r *Router) forgetEngine(addr string, id fleet.EngineID) {
	delete(r.poison.suspects, id)
	r.limits.tracker.Forget(id)
	r.notices.Forget(id)
	r.warmUps.forget(id)
	r.emit(DropIdleConns{Addr: addr})
}

// expulsionPeriod is how long an engine whose address belongs to another engine gets no requests
// although it is registered. The registration of an engine that is gone is removed after three
// heartbeats of 1.2 s.
const expulsionPeriod = 4 * time.Second

// expel removes an engine whose address belongs to another engine for expulsionPeriod.
func (r *Router) expel(id fleet.EngineID) {
	engine, _ := r.registry.Get(id)
	if r.registry.RemoveNow(id) {
		r.expelled[id] = r.now + expulsionPeriod
		r.emit(Decision{Kind: "engine_removed", Fields: []any{"engine", id, "reason", "address taken"}})
		r.forgetEngine(engine.Addr, id)
		r.rebuildPools()
	}
}

// readmitExpelled adds engines again whose expulsion has ended and that are still registered.
func (r *Router) readmitExpelled() {
	_, prefix := r.cfg.StoreDecoder.Prefixes()
	changed := false
	for id, at := range r.expelled {
		if r.now < at {
			continue
		}
		delete(r.expelled, id)
		if f, ok := r.replica.Get(prefix + string(id)); ok {
			changed = r.applyRegistration(f) || changed
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
	r.emit(Decision{Kind: "engine_paused", Fields: []any{"engine", id, "failure", placement.Unreachable.String()}})
	r.emit(DropIdleConns{Addr: engine.Addr})
	r.recordCrash(id)
}

// rebuildPools updates the pools from the configuration and the registrations.
func (r *Router) rebuildPools() {
	if r.table == nil {
		return
	}
	pools := make(map[fleet.ServiceID]*servicePool)
	for _, id := range r.table.Services() {
		pool := r.pools[id]
		if pool == nil {
			pool = &servicePool{engines: placement.New(placement.Config{LoadFactor: r.cfg.LoadFactor, Forecast: r.cfg.Forecast}, r.rng)}
		}
		var engines []placement.Engine
		registered := r.registry.Service(id)
		opening := r.openingVersions(id, registered)
		for _, e := range registered {
			engines = append(engines, placement.Engine{ID: e.ID, Addr: e.Addr, DataCentre: e.DataCentre, Slots: e.Slots,
				Draining: e.Draining || r.notices.Leaving(runOf(e)), Evacuated: r.evacuated(e.DataCentre), QuietUntil: r.notices.QuietUntil(runOf(e)),
				Incarnation: uint64(e.StartedAtMillis), Version: e.Version, Opening: opening[e.Version]})
		}
		pool.engines.SetEngines(r.now, engines)
		pool.engines.SetShortestTarget(r.table.ShortestTarget(id))
		pools[id] = pool
	}
	r.pools = pools
	r.applyRateLimits(r.limits.tracker.Engines())
	r.applyWarmUps()
	r.divideBudgets()
	r.updatePoolLoads()
	r.recheckWaiting()
}

// budgetMargin keeps the sum of all instances' extra attempts below the fleet's bound although their
// windows do not begin at the same time.
const budgetMargin = 0.8

// divideBudgets sets this instance's part of the fleet's retry budget at each service.
func (r *Router) divideBudgets() {
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

// canRoute reports whether the instance has a configuration, and has listed the store or received
// engines from peers.
func (r *Router) canRoute() bool {
	return r.table != nil && (r.store.listed || r.registry.Len() > 0)
}

// updateReady begins waiting requests once the instance can route, and reports changes of readiness.
func (r *Router) updateReady() {
	if r.canRoute() {
		r.startAwaitingCalls()
	}
	ready := r.canRoute() && !r.drain.active
	if ready != r.ready {
		r.ready = ready
		r.emit(SetReady{Ready: ready})
		r.emit(Decision{Kind: "readiness", Fields: []any{"ready", ready}})
	}
}

// tickStore readmits expelled engines whose time is over, and removes suspended engines whose
// registrations did not reappear in time.
func (r *Router) tickStore() {
	r.readmitExpelled()
	removed := r.registry.Tick(r.now)
	for _, id := range removed {
		r.notices.Forget(id)
		r.warmUps.forget(id)
		r.emit(Decision{Kind: "engine_removed", Fields: []any{"engine", id, "reason", "lapsed"}})
	}
	if len(removed) > 0 {
		r.rebuildPools()
	}
	r.tickEra()
}

// TakesRequestsAt reports whether a registered engine that is not draining has an address.
func (r *Router) TakesRequestsAt(addr string) bool { return r.registry.TakesRequestsAt(addr) }
