// Package ratelimit keeps the requests of a fleet below the rate limits that engines name.
//
// An engine names one limit for all instances together. A Tracker holds the limits as the instance and its
// peers observed them, Share divides a limit among the instances, and a Bucket enforces a share. Each
// instance computes its share by itself, from the members of the fleet and the demand that they report,
// so that no request waits for a message. In a large fleet a limit can't be divided: one instance, the
// owner, then enforces it for all, and the others ask it for each request.
package ratelimit

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
)

// Limit is what an engine said about its rate limit.
type Limit struct {
	Engine      fleet.EngineID
	Incarnation uint64
	// Rate is in requests a second, for all instances together. It is negative if the engine named no
	// limit.
	Rate float64
	// Age is the time since the engine said so. Clocks differ between instances, so peers exchange ages.
	Age time.Duration
}

// Limited reports whether the engine named a limit.
func (l Limit) Limited() bool { return l.Rate >= 0 }

// Tracker holds the limits that engines have named. It is not safe for concurrent use.
type Tracker struct {
	entries map[fleet.EngineID]*entry
}

// entry is the latest known state of an engine's limit. It is kept for a while after the engine has
// stopped naming one.
type entry struct {
	incarnation uint64
	// rate is what the engine named last, at observedAt.
	rate       float64
	observedAt time.Duration
	// announcedRate and announcedAt are those of the latest observation that the fleet knows.
	announcedRate float64
	announcedAt   time.Duration
	// rampFrom is the bound that applied before the engine named a higher limit, or none, at rampStart.
	rampFrom  float64
	rampStart time.Duration
}

// Bound is the rate at which the fleet may send requests to an engine.
type Bound struct {
	// Rate is in requests a second.
	Rate float64
	// Ending is set if the engine names no limit any more, so that the bound ends soon.
	Ending bool
}

const (
	// lifetime is how long a limit holds without confirmation. Every answer of the engine confirms it, so
	// that it lapses only if the engine gets no requests.
	lifetime = 30 * time.Second
	// confirmationInterval is the age from which the fleet needs a confirmation of a limit.
	confirmationInterval = 10 * time.Second
	// significantChange is the relative change of a limit from which the fleet needs to know.
	significantChange = 0.1
	// rampDoubling is the time in which the bound of an engine doubles after it has named a higher limit,
	// or none any more: otherwise all instances would send it their requests at once. A limit that is
	// no longer named ends after rampTime.
	rampDoubling = 300 * time.Millisecond
	rampTime     = 1500 * time.Millisecond
	// minRampRate is the least bound from which a ramp starts, in requests a second.
	minRampRate = 1.0
)

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{entries: make(map[fleet.EngineID]*entry)} }

// Observe records what an engine said to this instance. changed reports whether the rate differs from the
// one known before, announce whether the other instances need to know.
func (b *Tracker) Observe(now time.Duration, l Limit) (changed, announce bool) {
	known := b.entries[l.Engine]
	if known == nil || known.incarnation != l.Incarnation {
		delete(b.entries, l.Engine)
		if l.Limited() {
			b.entries[l.Engine] = newEntry(l, now)
		}
		return known != nil || l.Limited(), l.Limited()
	}
	changed = known.observe(now, now, l.Rate)
	announce = differs(known.announcedRate, l.Rate) || l.Limited() && now-known.announcedAt >= confirmationInterval
	if announce {
		known.announcedRate, known.announcedAt = l.Rate, now
	}
	return changed, announce
}

func newEntry(l Limit, at time.Duration) *entry {
	return &entry{incarnation: l.Incarnation, rate: l.Rate, observedAt: at, announcedRate: l.Rate, announcedAt: at, rampFrom: l.Rate, rampStart: at}
}

// observe sets the named rate and reports whether it changed.
func (e *entry) observe(now, at time.Duration, rate float64) bool {
	e.observedAt = at
	if e.rate == rate {
		return false
	}
	if bound, ok := e.bound(now); ok {
		e.rampFrom, e.rampStart = max(bound.Rate, minRampRate), now
	}
	e.rate = rate
	return true
}

// bound returns the rate that applies, or false without one.
func (e *entry) bound(now time.Duration) (Bound, bool) {
	ramp := e.rampFrom * math.Exp2(float64(now-e.rampStart)/float64(rampDoubling))
	if e.rate < 0 {
		return Bound{Rate: ramp, Ending: true}, now-e.rampStart < rampTime
	}
	return Bound{Rate: min(e.rate, ramp)}, true
}

// ramping reports whether the bound changes with time.
func (e *entry) ramping(now time.Duration) bool {
	bound, ok := e.bound(now)
	return ok && bound.Rate != e.rate
}

// differs reports whether a change from one rate to another is significant.
func differs(from, to float64) bool {
	return (from < 0) != (to < 0) || math.Abs(from-to) > significantChange*math.Abs(from)
}

// Merge records what an engine said to another instance. It reports whether the known rate changes.
func (b *Tracker) Merge(now time.Duration, l Limit) bool {
	at := now - max(l.Age, 0)
	known := b.entries[l.Engine]
	if known == nil || known.incarnation != l.Incarnation {
		if known != nil && at <= known.observedAt || now-at >= lifetime || !l.Limited() {
			return false
		}
		b.entries[l.Engine] = newEntry(l, at)
		return true
	}
	if at <= known.announcedAt {
		return false
	}
	known.announcedRate, known.announcedAt = l.Rate, at
	return at > known.observedAt && known.observe(now, at, l.Rate)
}

// Bound returns the rate at which the fleet may send requests to an incarnation of an engine, or false if
// there is no bound.
func (b *Tracker) Bound(now time.Duration, id fleet.EngineID, incarnation uint64) (Bound, bool) {
	known := b.entries[id]
	if known == nil || known.incarnation != incarnation {
		return Bound{}, false
	}
	return known.bound(now)
}

// Ramping returns the engines whose bound changes with time, sorted.
func (b *Tracker) Ramping(now time.Duration) []fleet.EngineID {
	return slices.DeleteFunc(b.Engines(), func(id fleet.EngineID) bool { return !b.entries[id].ramping(now) })
}

// Engines returns the engines that have named a limit and may have a bound, sorted.
func (b *Tracker) Engines() []fleet.EngineID { return slices.Sorted(maps.Keys(b.entries)) }

// Limits returns the limits that engines name, sorted by engine, for an instance that lacks them.
func (b *Tracker) Limits(now time.Duration) []Limit {
	var list []Limit
	for _, id := range b.Engines() {
		if e := b.entries[id]; e.rate >= 0 {
			list = append(list, Limit{Engine: id, Incarnation: e.incarnation, Rate: e.rate, Age: now - e.observedAt})
		}
	}
	return list
}

// Forget removes the limit of an engine that has left.
func (b *Tracker) Forget(id fleet.EngineID) { delete(b.entries, id) }

// Expire removes what has not been confirmed for long. It returns the engines that had a limit.
func (b *Tracker) Expire(now time.Duration) []fleet.EngineID {
	var expired []fleet.EngineID
	for _, id := range b.Engines() {
		e := b.entries[id]
		if now-e.observedAt < lifetime {
			continue
		}
		delete(b.entries, id)
		if e.rate >= 0 {
			expired = append(expired, id)
		}
	}
	return expired
}

// Instance is a member of the fleet.
type Instance struct {
	ID fleet.InstanceID
	// Demand is the rate of the requests that it receives for the engine's service, or negative if
	// unknown.
	Demand float64
}

const (
	// headroom is the number of requests that the instances of a fleet may have saved up together, and
	// headroomShare a further number for each request a second of the limit. Within the few seconds over
	// which an engine counts, the fleet may exceed its limit by that much.
	headroom      = 4.0
	headroomShare = 0.8
	// minDemandShare bounds the demand of an instance from below, as a share of the mean: an instance
	// that receives more requests at once must not wait until its peers know.
	minDemandShare = 0.25
)

// Divisible reports whether a limit can be divided among a number of instances. Each of them can save up
// one request, so a small limit can't be divided among many; one instance then hands out all requests.
func Divisible(limit float64, instances int) bool {
	return float64(instances) <= Burst(limit)
}

// Burst returns the number of requests to an engine that the instances may have saved up together.
func Burst(limit float64) float64 { return headroomShare*limit + headroom }

// OwnerOf returns the instance that hands out the requests to an engine whose limit can't be divided.
func OwnerOf(engine fleet.EngineID, instances []fleet.InstanceID) fleet.InstanceID {
	key := fleet.Hash("rate limit", string(engine))
	var owner fleet.InstanceID
	highest := -1.0
	for _, id := range instances {
		if score := affinity.Score(key, affinity.Seed(string(id)), 1); score > highest {
			owner, highest = id, score
		}
	}
	return owner
}

// Share returns the rate at which an instance may send requests to an engine with a limit that can be
// divided. Instances share it in proportion to their demand.
func Share(limit float64, self fleet.InstanceID, instances []Instance) float64 {
	sum, known := 0.0, 0
	for _, i := range instances {
		if i.Demand >= 0 {
			sum += i.Demand
			known++
		}
	}
	if sum == 0 {
		return limit / float64(max(len(instances), 1))
	}
	mean := sum / float64(known)
	total, own := 0.0, 0.0
	for _, i := range instances {
		weight := max(i.Demand, minDemandShare*mean)
		if i.Demand < 0 {
			weight = mean
		}
		total += weight
		if i.ID == self {
			own = weight
		}
	}
	return limit * own / total
}
