package placement

import (
	"math"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Room is what the engines of a pool can begin at once, as far as their loads are known.
type Room struct {
	// Slots is the number of slots and Load the number of requests of the engines that may get requests. Free is the
	// number of slots that no request has, without those that other engines exceed.
	Slots, Load, Free int
	// Unbounded reports whether an engine has an unknown number of slots, or a rate limit, so that the loads don't tell
	// what it can begin.
	Unbounded bool
	// Warm is the number of engines that accept requests and are not cold, with those that are paused. Cold is the number
	// of cold engines at which a slot is free that this instance's share of the warm-up lets it use now.
	Warm, Cold int
}

// Known reports whether the loads tell what the engines can begin.
func (r Room) Known() bool { return !r.Unbounded && r.Warm > 0 }

// freeShare is the share of free slots below which a pool is nearly full.
const freeShare = 0.2

// NearlyFull reports whether at most a fifth of the slots are free.
func (r Room) NearlyFull() bool {
	return !r.Unbounded && float64(r.Free) <= freeShare*float64(r.Slots)
}

// Room returns the room of the engines that are in service, not paused, in no quiet time and not cold. What cold engines
// may get is bounded by their warm-up and not by their slots.
func (p *Pool) Room(now time.Duration) Room {
	var room Room
	for _, m := range p.memberList {
		load := p.latestLoad(now, m)
		switch {
		case !m.acceptsNew(now), m.Opening:
			continue
		case m.warming(now):
			if p.usable(now, m, Request{}) && m.admitsLoad(load, 1) {
				room.Cold++
			}
			continue
		}
		room.Warm++
		if !m.health.admits(now, false) {
			continue
		}
		if m.Slots <= 0 || m.limited() {
			room.Unbounded = true
		}
		room.Slots += m.Slots
		room.Load += load
		room.Free += max(m.Slots-load, 0)
	}
	return room
}

// HasTurns reports whether the slots of an engine count in the room of the pool unless it is paused: it accepts requests
// and is not cold.
func (p *Pool) HasTurns(now time.Duration, id fleet.EngineID) bool {
	m := p.members[id]
	return m != nil && m.acceptsNew(now) && !m.Opening && !m.warming(now)
}

// Home returns the first engine in the order of the request's cache key that may get the request, or empty.
func (p *Pool) Home(now time.Duration, request Request) fleet.EngineID {
	p.rankedChoices = p.rankedChoices[:0]
	if m := p.firstUsable(now, request); m != nil {
		return m.ID
	}
	return ""
}

// Excess reports whether an engine has said of itself that it has more requests than slots, counting what this instance
// has sent and ended since. The counts of other instances are too old for that.
func (p *Pool) Excess(now time.Duration, id fleet.EngineID) bool {
	m := p.members[id]
	return m != nil && m.Slots > 0 && now < m.reportExpires && p.latestLoad(now, m) > m.Slots
}

// latestLoad returns the load of an engine by the newest of what is known: its report, with what this instance has sent and
// ended since, or else the counts of all instances. Unlike load it is not an upper bound: with the highest of all
// figures, engines that are always full would seem so for as long as a report is used, and slots stay empty.
func (p *Pool) latestLoad(now time.Duration, m *member) int {
	if now < m.reportExpires {
		return max(m.ownRequests, m.report.Running+m.report.Waiting+m.sinceReport)
	}
	return m.ownRequests + m.announcedRequests
}

// ChooseNear returns the first of a number of engines in the order of a request's cache key that has a free slot.
func (p *Pool) ChooseNear(now time.Duration, request Request, ranks int) (Choice, bool) {
	if request.Key == 0 {
		return Choice{}, false
	}
	p.rankedChoices = p.rankedChoices[:0]
	for rank := range min(ranks, len(p.memberList)) {
		m := p.rankedMember(request.Key, rank)
		if !p.usable(now, m, request) || !m.admitsLoad(p.load(now, m), 1) {
			continue
		}
		choice := p.choiceOf(now, request, m)
		if rank == 0 {
			choice.Reason = FirstChoice
		}
		return choice, true
	}
	return Choice{}, false
}

// ChooseEngine returns a given engine if a request may be sent there.
func (p *Pool) ChooseEngine(now time.Duration, request Request, id fleet.EngineID) (Choice, bool) {
	m := p.members[id]
	if m == nil || !p.usable(now, m, request) {
		return Choice{}, false
	}
	return p.choiceOf(now, request, m), true
}

// ChooseCold returns the cold engine with the fewest requests of those that have a free slot and whose warm-up admits one
// more.
func (p *Pool) ChooseCold(now time.Duration, request Request) (Choice, bool) {
	var best *member
	for _, m := range p.memberList {
		if !m.warming(now) || !p.usable(now, m, request) || !m.admitsLoad(p.load(now, m), 1) {
			continue
		}
		if best == nil || p.load(now, m) < p.load(now, best) {
			best = m
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return p.choiceOf(now, request, best), true
}

// ChooseShortestQueue returns the engine with the fewest requests for its slots, for a request that has waited longer
// than the known loads explain. Of equal ones it takes any: other instances know the same loads.
func (p *Pool) ChooseShortestQueue(now time.Duration, request Request) (Choice, bool) {
	var best *member
	least := math.Inf(1)
	start := p.rng.IntN(max(len(p.memberList), 1))
	for i := range p.memberList {
		m := p.memberList[(start+i)%len(p.memberList)]
		if !p.usable(now, m, request) {
			continue
		}
		if share := float64(p.load(now, m)) / float64(max(m.Slots, 1)); share < least {
			best, least = m, share
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return p.choiceOf(now, request, best), true
}

// choiceOf returns the choice of an engine that was not chosen for its place in the order of the request's cache key.
func (p *Pool) choiceOf(now time.Duration, request Request, m *member) Choice {
	choice := Choice{Engine: m.Engine, Reason: LeastLoaded, Load: p.load(now, m), Mean: p.mean(now), Cold: m.warming(now)}
	if request.Key != 0 {
		p.rankedChoices = p.rankedChoices[:0]
		choice.Reason, choice.FetchFrom = Overflow, p.fetchSource(now, request.Key, m)
	}
	if m.limit != nil {
		choice.Owner = m.limit.Owner
	}
	return choice
}
