package router

import (
	"strings"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/replica"
)

// enterEra notices that the store was restored from a copy that lacks its latest changes. It reports whether
// the revision is of a later era than the facts that this instance holds.
//
// Engines and the operator write again what was lost, within ReregistrationGrace. Until then a key that the
// store lacks is kept.
func (r *Router) enterEra(revision uint64) bool {
	era := replica.Era(revision)
	if era <= r.store.era {
		return false
	}
	r.store.era = era
	held := r.replica.NewestRevision()
	if held == 0 {
		return false
	}
	r.store.settling = true
	r.store.settledAt = r.now + r.cfg.ReregistrationGrace
	r.registry.StoreRestored(r.now)
	r.poison.storing.storeRestored()
	r.emit(RenewPresence{})
	r.emit(Decision{Kind: "store_restored", Fields: []any{"revision", replica.FormatRevision(revision), "held", replica.FormatRevision(held)}})
	return true
}

// mergeList merges a complete list of keys. Keys that it lacks are deleted, unless the store was restored and
// has not settled: then another list follows.
func (r *Router) mergeList(ev KeysListed) []replica.Fact {
	if r.store.settling {
		r.store.relist = true
		return r.replica.Merge(ev.Facts)
	}
	return r.replica.Reset(ev.Prefix, ev.Facts, ev.AtRevision)
}

// tickEra lists the keys of a restored store again when it has settled, and applies the registrations that it
// then holds.
func (r *Router) tickEra() {
	if !r.store.settling || r.now < r.store.settledAt {
		return
	}
	r.store.settling = false
	if r.store.relist && r.store.watching {
		r.emit(ListKeys{})
	}
	r.store.relist = false
	_, registrations := r.cfg.StoreDecoder.Prefixes()
	changed := false
	for _, f := range r.replica.All() {
		id, isRegistration := strings.CutPrefix(f.Key, registrations)
		if _, expelled := r.expelled[fleet.EngineID(id)]; isRegistration && !expelled {
			changed = r.applyRegistration(f) || changed
		}
	}
	if changed {
		r.rebuildPools()
	}
}

// numberConfigurations sets the operator's version of configurations for which it is unknown.
func (r *Router) numberConfigurations(facts []replica.Fact) {
	key, _ := r.cfg.StoreDecoder.Prefixes()
	for i, f := range facts {
		if f.Key != key || f.Deleted || f.Version != 0 {
			continue
		}
		if held, ok := r.replica.Get(key); ok && held.Revision == f.Revision {
			facts[i].Version = held.Version
			continue
		}
		if config, err := r.cfg.StoreDecoder.Configuration(f.Value); err == nil {
			facts[i].Version = config.Version
		}
	}
}

// newestOf returns the highest revision of facts, or 0 without any.
func newestOf(facts []replica.Fact) uint64 {
	newest := uint64(0)
	for _, f := range facts {
		newest = max(newest, f.Revision)
	}
	return newest
}
