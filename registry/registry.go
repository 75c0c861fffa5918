// Package registry keeps what is registered of the engines in the platform's store.
//
// A registration that disappears normally means that its engine has left or died. Registrations
// also lapse while the store is away, although their engines live. For a grace period after the
// store's return a missing registration is therefore only suspended, and counts as gone when
// the engine has not registered again by then.
package registry

import (
	"cmp"
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
	// Draining tells that the engine finishes its work and takes no more.
	Draining bool
	// Born identifies the engine's process: the wall-clock millisecond of its start, 0 if unknown.
	Born int64
}

// Config holds the limits of a Registry.
type Config struct {
	// LapseGrace is how long after the store's return a missing registration is only suspended.
	// Engines that live register again within about 2 s.
	LapseGrace time.Duration
}

// Registry holds the registered engines. It is not safe for concurrent use.
type Registry struct {
	config  Config
	engines map[fleet.EngineID]Engine
	// lapsed holds engines whose registration disappeared during the grace period.
	lapsed map[fleet.EngineID]bool
	// lost tells that the store is away, settled is when registrations can be trusted again.
	lost    bool
	settled time.Duration
}

// New returns an empty registry.
func New(config Config) *Registry {
	return &Registry{config: config, engines: make(map[fleet.EngineID]Engine), lapsed: make(map[fleet.EngineID]bool)}
}

// Put takes a registration. It reports whether it differs from the one held.
func (r *Registry) Put(e Engine) bool {
	held, known := r.engines[e.ID]
	if known && held == e && !r.lapsed[e.ID] {
		return false
	}
	delete(r.lapsed, e.ID)
	r.engines[e.ID] = e
	return true
}

// Remove takes the disappearance of a registration. It reports whether the engine is gone now;
// otherwise Tick decides.
func (r *Registry) Remove(now time.Duration, id fleet.EngineID) bool {
	if _, known := r.engines[id]; !known {
		return false
	}
	if r.lost || now < r.settled {
		r.lapsed[id] = true
		return false
	}
	r.drop(id)
	return true
}

// Expel drops an engine of which it is known that it is gone, whatever is registered.
func (r *Registry) Expel(id fleet.EngineID) bool {
	_, known := r.engines[id]
	r.drop(id)
	return known
}

// StoreLost notes that the store can't be read.
func (r *Registry) StoreLost() { r.lost = true }

// StoreBack notes that the store can be read again.
func (r *Registry) StoreBack(now time.Duration) {
	if r.lost {
		r.lost = false
		r.settled = now + r.config.LapseGrace
	}
}

// Tick drops the engines that did not register again within the grace period and returns them.
func (r *Registry) Tick(now time.Duration) []fleet.EngineID {
	if r.lost || now < r.settled || len(r.lapsed) == 0 {
		return nil
	}
	gone := make([]fleet.EngineID, 0, len(r.lapsed))
	for id := range r.lapsed {
		gone = append(gone, id)
	}
	slices.Sort(gone)
	for _, id := range gone {
		r.drop(id)
	}
	return gone
}

func (r *Registry) drop(id fleet.EngineID) {
	delete(r.engines, id)
	delete(r.lapsed, id)
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

// Suspended returns the number of engines whose registration is missing and may come back.
func (r *Registry) Suspended() int { return len(r.lapsed) }

// Len returns the number of registered engines.
func (r *Registry) Len() int { return len(r.engines) }
