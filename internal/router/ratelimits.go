package router

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/placement"
	"github.com/bilberrywell/bilberrywell/ratelimit"
)

const (
	// shareInterval is the time between two computations of the shares of all rate limits, rampInterval of
	// those that change with time.
	shareInterval = time.Second
	rampInterval  = 100 * time.Millisecond
)

// rateLimitState holds the rate limits of engines and when this instance's shares are computed again.
type rateLimitState struct {
	tracker             *ratelimit.Tracker
	nextShare, nextRamp time.Duration
}

// recordRateLimit records the rate limit that an engine names in a response, or that it names none any
// more.
func (r *Router) recordRateLimit(id fleet.EngineID, report *EngineReport) {
	engine, ok := r.registry.Get(id)
	if !ok || report.RateLimit == nil && !report.Confirmed {
		return
	}
	limit := ratelimit.Limit{Engine: id, Incarnation: uint64(engine.StartedAtMillis), Rate: -1}
	if report.RateLimit != nil {
		limit.Rate = *report.RateLimit
	}
	changed, announce := r.limits.tracker.Observe(r.now, limit)
	if announce {
		r.broadcast(&wire.EngineLimits{Limits: []wire.EngineLimit{wireLimit(limit)}})
	}
	if changed {
		r.rateLimitChanged(limit, "response")
	}
}

// rateLimitChanged applies a changed limit of an engine.
func (r *Router) rateLimitChanged(l ratelimit.Limit, source string) {
	kind := "engine_limited"
	if !l.Limited() {
		kind = "engine_unlimited"
	}
	r.emit(Decision{Kind: kind, Fields: []any{"engine", l.Engine, "rate", l.Rate, "source", source}})
	r.applyRateLimit(l.Engine, r.fleetDemand())
}

// applyRateLimit sets this instance's share of an engine's limit.
func (r *Router) applyRateLimit(id fleet.EngineID, demand demandByService) {
	engine, _ := r.registry.Get(id)
	pool := r.pools[engine.Service]
	if pool == nil {
		return
	}
	bound, bounded := r.limits.tracker.Bound(r.now, id, uint64(engine.StartedAtMillis))
	if !bounded {
		pool.engines.ClearRate(id)
		return
	}
	applied := placement.RateBound{Rate: bound.Rate, Burst: ratelimit.Burst(bound.Rate), Ending: bound.Ending}
	if n := len(demand.instances); ratelimit.Divisible(bound.Rate, n) {
		applied.Rate = ratelimit.Share(bound.Rate, r.cfg.Instance, demand.of(engine.Service))
		applied.Burst /= float64(n)
	} else if owner := r.limitOwner(id); owner != r.cfg.Instance {
		applied.Owner = owner
	}
	pool.engines.SetRate(r.now, id, applied)
}

// limitOwner returns the live instance that enforces the limit of an engine if it can't be divided.
func (r *Router) limitOwner(id fleet.EngineID) fleet.InstanceID {
	return ratelimit.OwnerOf(id, r.loads.grid.ids)
}

// tickRateLimits drops limits that were not confirmed for long, and computes the shares again, which
// change with the fleet, its demand and, of some limits, with time.
func (r *Router) tickRateLimits() {
	if r.now >= r.limits.nextRamp {
		r.limits.nextRamp = r.now + rampInterval
		r.applyRateLimits(r.limits.tracker.Ramping(r.now))
	}
	if r.now < r.limits.nextShare {
		return
	}
	r.limits.nextShare = r.now + shareInterval
	for _, id := range r.limits.tracker.Expire(r.now) {
		r.rateLimitChanged(ratelimit.Limit{Engine: id, Rate: -1}, "expiry")
	}
	r.applyRateLimits(r.limits.tracker.Engines())
}

func (r *Router) applyRateLimits(engines []fleet.EngineID) {
	if len(engines) == 0 {
		return
	}
	demand := r.fleetDemand()
	for _, id := range engines {
		r.applyRateLimit(id, demand)
	}
}

// sendRateLimits tells a peer all limits.
func (r *Router) sendRateLimits(to fleet.InstanceID) {
	var m wire.EngineLimits
	for _, l := range r.limits.tracker.Limits(r.now) {
		m.Limits = append(m.Limits, wireLimit(l))
	}
	if len(m.Limits) > 0 {
		r.emit(SendMessage{To: to, Message: &m})
	}
}

func (r *Router) rateLimitsReceived(from fleet.InstanceID, m *wire.EngineLimits) {
	for _, l := range m.Limits {
		limit := ratelimit.Limit{Engine: l.Engine, Incarnation: l.Incarnation, Rate: float64(l.MilliRate) / 1000, Age: milliseconds(l.AgeMs)}
		if r.limits.tracker.Merge(r.now, limit) {
			r.rateLimitChanged(limit, string(from))
		}
	}
}

func wireLimit(l ratelimit.Limit) wire.EngineLimit {
	return wire.EngineLimit{Engine: l.Engine, Incarnation: l.Incarnation, MilliRate: int64(1000 * l.Rate), AgeMs: uint32(l.Age.Milliseconds())}
}
