package router

import (
	"fmt"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/placement"
	"github.com/bilberrywell/bilberrywell/registry"
	"github.com/bilberrywell/bilberrywell/replica"
)

// States of an engine. All but EngineUsable, EngineWarming and EngineLimited keep new requests from it. Those that a pool
// decides have the names of its holds.
const (
	// EngineUsable is the state of an engine without another one.
	EngineUsable = "usable"
	// EngineUnconfigured engines belong to a service that the configuration in force lacks.
	EngineUnconfigured = "unconfigured"
	// EngineDraining engines take no new requests, by their registration or by their own word.
	EngineDraining = placement.HoldDraining
	// EngineEvacuated engines are in a data centre that the operator has evacuated.
	EngineEvacuated = placement.HoldEvacuated
	// EnginePaused engines have failed requests of this instance.
	EnginePaused = placement.HoldPaused
	// EngineQuiet engines want no requests from this instance for some time.
	EngineQuiet = placement.HoldQuiet
	// EngineWarming engines are cold and get few requests, from few instances.
	EngineWarming = placement.HoldWarmingUp
	// EngineLimited engines name a rate limit.
	EngineLimited = placement.HoldLimited
)

// EngineStates is a snapshot of all registered engines and of the evacuated data centres.
type EngineStates struct {
	// ConfigVersion is the version of the configuration in force, 0 without one.
	ConfigVersion uint64
	// FactsAge is the time since the copy of the store was last known to be current, negative before the first time.
	FactsAge time.Duration
	// Evacuations are sorted by data centre, Engines by id.
	Evacuations []EvacuationState
	Engines     []EngineStatus
}

// EvacuationState is an evacuated data centre.
type EvacuationState struct {
	DataCentre fleet.DataCentre
	// Since is when this instance learned of the evacuation, Revision that of the order in the store.
	Since    time.Duration
	Revision string
	// Engines is the number of registered engines in the data centre.
	Engines int
}

// EngineStatus is one engine as an instance sees it.
type EngineStatus struct {
	registry.Engine
	// Revision is that of the registration in this instance's copy of the store. Rewrites without a change are not
	// passed on, so instances may name different ones.
	Revision string
	// Suspended is set if the engine is kept although its registration is missing.
	Suspended bool
	// State is the first of Reasons, or EngineUsable.
	State string
	// Reasons lists all states that apply, the one that decides first.
	Reasons []EngineReason
	// OwnRequests is the number of requests that the instance runs at the engine, AllRequests the estimated number
	// that all instances run.
	OwnRequests, AllRequests int
}

// EngineReason is a state of an engine and how long it lasts. Since and Until are negative if unknown.
type EngineReason struct {
	State        string
	Since, Until time.Duration
	// Revision is that of the key in the store that ordered the state, or empty.
	Revision string
	// Detail says more for people.
	Detail string
}

// EngineStates returns a snapshot at time now. It changes nothing and holds no customer's data.
func (r *Router) EngineStates(now time.Duration) EngineStates {
	s := EngineStates{ConfigVersion: r.configVersion(), FactsAge: -1}
	if r.store.currentAt != never {
		s.FactsAge = now - r.store.currentAt
	}
	for _, dc := range r.evacuatedDataCentres() {
		e := r.evacuations[dc]
		s.Evacuations = append(s.Evacuations, EvacuationState{DataCentre: dc, Since: e.since, Revision: replica.FormatRevision(e.revision), Engines: r.enginesIn(dc)})
	}
	for _, id := range r.registry.IDs() {
		e, _ := r.registry.Get(id)
		s.Engines = append(s.Engines, r.engineStatus(now, e))
	}
	return s
}

// configVersion returns the version of the configuration in force, or 0 without one.
func (r *Router) configVersion() uint64 {
	if r.table == nil {
		return 0
	}
	return r.table.Version
}

func (r *Router) engineStatus(now time.Duration, e registry.Engine) EngineStatus {
	s := EngineStatus{Engine: e, State: EngineUsable, Suspended: r.registry.IsSuspended(e.ID)}
	_, prefix := r.cfg.StoreDecoder.Prefixes()
	if f, ok := r.replica.Get(prefix + string(e.ID)); ok {
		s.Revision = replica.FormatRevision(f.Revision)
	}
	pool, known := r.pools[e.Service]
	if known {
		state, _ := pool.engines.State(now, e.ID)
		s.OwnRequests, s.AllRequests = state.OwnRequests, state.AllRequests
		s.Reasons = r.engineReasons(now, s, state)
	} else {
		s.Reasons = []EngineReason{{State: EngineUnconfigured, Since: -1, Until: -1, Detail: "the configuration lacks the service"}}
	}
	if len(s.Reasons) > 0 {
		s.State = s.Reasons[0].State
	}
	return s
}

// engineReasons returns the states that apply, in the order of the gauge bilberry_engines: an engine that drains
// counts as draining, whatever else is true of it. A limit that the engine names no more is no state.
func (r *Router) engineReasons(now time.Duration, e EngineStatus, p placement.EngineState) []EngineReason {
	var list []EngineReason
	for _, hold := range p.Holds {
		reason := EngineReason{State: hold.Reason, Since: hold.Since, Until: hold.Until}
		switch hold.Reason {
		case EngineDraining:
			reason.Revision = e.Revision
			if !e.Draining {
				reason.Revision, reason.Detail = "", "said so in a response"
			}
		case EngineEvacuated:
			order := r.evacuations[e.DataCentre]
			reason.Since, reason.Revision = order.since, replica.FormatRevision(order.revision)
		case EngineLimited:
			if hold.Ending {
				continue
			}
			reason.Detail = r.limitDetail(now, e, hold.Owner)
		}
		list = append(list, reason)
	}
	return list
}

func (r *Router) limitDetail(now time.Duration, e EngineStatus, owner fleet.InstanceID) string {
	detail := ""
	if bound, ok := r.limits.tracker.Bound(now, e.ID, uint64(e.StartedAtMillis)); ok {
		detail = fmt.Sprintf("%.3g requests/s from all instances", bound.Rate)
	}
	if owner != "" {
		detail += ", admitted by " + string(owner)
	}
	return detail
}
