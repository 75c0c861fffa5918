// Package registry holds the engines that are registered in the platform's store.
//
// A registration that disappears normally means that its engine has left or crashed, and the engine is
// removed. Registrations also expire while the store is unavailable, although their engines still run.
// While the store is unavailable, and for a grace period afterwards, a missing registration is therefore
// only suspended: the engine is kept, and is removed after the grace period if it has not registered
// again. The same holds after the store was restored from a copy that lacks the latest registrations.
package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Engine is an engine as it registered itself.
type Engine struct {
	ID         fleet.EngineID
	Service    fleet.ServiceID
	Addr       string
	DataCentre fleet.DataCentre
	// Slots is the number of requests that the engine runs at once.
	Slots int
	// Draining is set if the engine finishes its requests and takes no new ones.
	Draining bool
	// StartedAtMillis identifies the engine's process: the wall-clock millisecond of its start, 0 if
	// unknown.
	StartedAtMillis int64
	// Version is the version of the engine's software, empty if it registered none.
	Version fleet.EngineVersion
	// ColdFor is how much longer the engine stayed cold when it registered; 0 if it was warm.
	ColdFor time.Duration
	// Finding describes a value that was replaced by a usable one, for logs; empty without one.
	Finding string
}

// Config holds the limits of a Registry.
type Config struct {
	// ReregistrationGrace is how long a missing registration is only suspended after the store is
	// available again. Running engines register again within about 2 s.
	ReregistrationGrace time.Duration
}

// Registry holds the registered engines. It is not safe for concurrent use.
type Registry struct {
	config  Config
	engines map[fleet.EngineID]Engine
	// suspended holds the engines whose registration disappeared while the store was unavailable or
	// during the grace period.
	suspended map[fleet.EngineID]bool
	// storeLost is set while the store can't be read. graceEnds is the end of the latest grace period,
	// from which a missing registration means again that its engine is gone.
	storeLost bool
	graceEnds time.Duration
	// restored is set during the grace period after the store was restored.
	restored bool
	// departed holds the processes of engines that were last registered as draining, or whose registration was
	// removed.
	departed map[fleet.EngineID]departedProcess
}

// departedProcess is a process of an engine that drained, or was gone, at a time.
type departedProcess struct {
	startedAtMillis int64
	at              time.Duration
}

// departureMemory is how long such a process is remembered. Engines end within minutes.
const departureMemory = 10 * time.Minute

// New returns an empty registry.
func New(config Config) *Registry {
	return &Registry{
		config: config, engines: make(map[fleet.EngineID]Engine), suspended: make(map[fleet.EngineID]bool),
		departed: make(map[fleet.EngineID]departedProcess),
	}
}

// Put sets an engine's registration. It reports whether the registration changed or was suspended. During the
// grace period of a restored store an engine that drains stays draining, and one that was gone drains: the entry may
// be one of before. What is registered then has to be put again afterwards.
func (r *Registry) Put(now time.Duration, e Engine) bool {
	if last, known := r.departed[e.ID]; known && r.restored && last.startedAtMillis == e.StartedAtMillis {
		e.Draining = true
	}
	if e.Draining {
		r.departed[e.ID] = departedProcess{startedAtMillis: e.StartedAtMillis, at: now}
	} else {
		delete(r.departed, e.ID)
	}
	current, known := r.engines[e.ID]
	if known && current == e && !r.suspended[e.ID] {
		return false
	}
	delete(r.suspended, e.ID)
	r.engines[e.ID] = e
	return true
}

// Remove handles the disappearance of a registration. It reports whether the engine was removed; if
// the registration is only suspended, Tick removes the engine later.
func (r *Registry) Remove(now time.Duration, id fleet.EngineID) bool {
	if _, known := r.engines[id]; !known {
		return false
	}
	if r.storeLost || now < r.graceEnds {
		r.suspended[id] = true
		return false
	}
	r.remember(now, id)
	r.drop(id)
	return true
}

// remember records that an engine's process is gone.
func (r *Registry) remember(now time.Duration, id fleet.EngineID) {
	r.departed[id] = departedProcess{startedAtMillis: r.engines[id].StartedAtMillis, at: now}
}

// RemoveNow removes an engine that is known to be gone, even if it is still registered. It reports
// whether the engine was known.
func (r *Registry) RemoveNow(id fleet.EngineID) bool {
	_, known := r.engines[id]
	r.drop(id)
	return known
}

// StoreLost records that the store can't be read.
func (r *Registry) StoreLost() { r.storeLost = true }

// StoreRegained records that the store can be read. After StoreLost it starts the grace period.
func (r *Registry) StoreRegained(now time.Duration) {
	if r.storeLost {
		r.storeLost = false
		r.graceEnds = now + r.config.ReregistrationGrace
	}
}

// StoreRestored records that the store was restored from a copy that lacks its latest changes. It starts the
// grace period.
func (r *Registry) StoreRestored(now time.Duration) {
	r.graceEnds = now + r.config.ReregistrationGrace
	r.restored = true
}

// Tick removes the engines that did not register again within the grace period and returns them.
func (r *Registry) Tick(now time.Duration) []fleet.EngineID {
	if now >= r.graceEnds {
		r.restored = false
	}
	maps.DeleteFunc(r.departed, func(_ fleet.EngineID, p departedProcess) bool { return now-p.at >= departureMemory })
	if r.storeLost || now < r.graceEnds || len(r.suspended) == 0 {
		return nil
	}
	gone := make([]fleet.EngineID, 0, len(r.suspended))
	for id := range r.suspended {
		gone = append(gone, id)
	}
	slices.Sort(gone)
	for _, id := range gone {
		r.remember(now, id)
		r.drop(id)
	}
	return gone
}

func (r *Registry) drop(id fleet.EngineID) {
	delete(r.engines, id)
	delete(r.suspended, id)
}

// Get returns a registered engine.
func (r *Registry) Get(id fleet.EngineID) (Engine, bool) {
	e, ok := r.engines[id]
	return e, ok
}

// Service returns the engines of a service in order of ID.
func (r *Registry) Service(id fleet.ServiceID) []Engine {
	var list []Engine
	for _, e := range r.engines {
		if e.Service == id {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// TakesRequestsAt reports whether an engine that is not draining is registered with an address.
func (r *Registry) TakesRequestsAt(addr string) bool {
	for _, e := range r.engines {
		if e.Addr == addr && !e.Draining {
			return true
		}
	}
	return false
}

// IDs returns the ids of all engines in order.
func (r *Registry) IDs() []fleet.EngineID { return slices.Sorted(maps.Keys(r.engines)) }

// Suspended returns the number of engines that are kept although their registration is missing.
func (r *Registry) Suspended() int { return len(r.suspended) }

// Len returns the number of engines, suspended ones included.
func (r *Registry) Len() int { return len(r.engines) }
