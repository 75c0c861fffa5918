package placement

import (
	"math"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Choose returns an engine for a request, or false if every engine is draining, excluded or may not get
// more requests because of its rate limit. For a request with a cache key, an engine with a free slot is
// preferred to one that would queue it.
func (p *Pool) Choose(now time.Duration, request Request) (Choice, bool) {
	choice, ok := p.choose(now, request)
	if ok && request.Tokens.Prompt > 0 {
		choice.Reading = p.readingAt(now, request, p.members[choice.Engine.ID])
	}
	choice.Cold = ok && p.members[choice.Engine.ID].warming(now)
	if m := p.members[choice.Engine.ID]; ok && m.limit != nil && m.limit.Owner != "" {
		choice.Owner = m.limit.Owner
		choice.IsFirst = request.Key != 0 && m == p.firstUsable(now, request)
	}
	return choice, ok
}

func (p *Pool) choose(now time.Duration, request Request) (Choice, bool) {
	mean := p.mean(now)
	if p.Len() == 0 {
		return Choice{}, false
	}
	p.rankedChoices = p.rankedChoices[:0]
	limited := p.hasLimits()
	if request.Key != 0 {
		if limited {
			p.countFirst(now, request)
		}
		for _, pass := range passesOf(limited) {
			if c, ok := p.chooseRanked(now, request, mean, pass); ok {
				return c, true
			}
		}
	}
	c, ok := p.chooseLeastLoaded(now, request, mean)
	if limited && request.Key != 0 {
		// Engines whose queue is long, or that are paused, can't take what the limits leave.
		return c, ok && c.Engine.admitsLoad(c.Load, queueShare)
	}
	if ok {
		return c, true
	}
	return p.chooseLastResort(now, request, mean)
}

// usable reports whether an engine may get a request, regardless of its load.
func (p *Pool) usable(now time.Duration, m *member, request Request) bool {
	return m.mayReceive(now, request) && p.usableBut(now, m, request)
}

// usableBut reports whether an engine may get a request, regardless of its load, its rate limit and its warm-up.
func (p *Pool) usableBut(now time.Duration, m *member, request Request) bool {
	return m.acceptsNew(now) && m.health.admits(now, request.AvoidRecentlyPaused) && !(request.AvoidLost && m.health.isLost(now)) &&
		request.permits(&m.Engine)
}

// HasOther reports whether an engine other than the given one may get a request now, regardless of its load.
func (p *Pool) HasOther(now time.Duration, request Request, than fleet.EngineID) bool {
	return slices.ContainsFunc(p.memberList, func(m *member) bool { return m.ID != than && p.usable(now, m, request) })
}

// admitsLoad reports whether a load is below a share of the engine's slots.
func (e Engine) admitsLoad(load int, slotShare float64) bool {
	return e.Slots <= 0 || float64(load) < slotShare*float64(e.Slots)
}

// rankedPass tells which engines chooseRanked leaves out.
type rankedPass struct {
	// slotShare is the load from which an engine is left out, as a share of its slots. Infinity admits
	// engines that would queue the request.
	slotShare float64
	// bySpeed leaves slow engines out from a smaller load on.
	bySpeed bool
	// anyLimited admits engines with a rate limit for prompts that are not kept there.
	anyLimited bool
	// byForecast lets the forecast choose a later engine.
	byForecast bool
}

// usualPasses prefers engines with a free slot. When all engines are full, a request queues at the first
// one below the load bound: if it went to the least loaded engine instead, all instances would choose the
// same one until its new load is announced.
var usualPasses = []rankedPass{{slotShare: 1, bySpeed: true, byForecast: true}, {slotShare: math.Inf(1)}}

// passesOf returns the passes over the engines of a pool in which some have a rate limit, or none.
func passesOf(limited bool) []rankedPass {
	if limited {
		return limitedPasses
	}
	return usualPasses
}

// chooseRanked returns the first usable engine in the key's rendezvous order that the pass admits.
func (p *Pool) chooseRanked(now time.Duration, request Request, mean float64, pass rankedPass) (Choice, bool) {
	if p.usesForecast(request, pass) && p.staysAtFull(now, request, mean, pass) {
		m := p.rankedMember(request.Key, 0)
		return Choice{Engine: m.Engine, Reason: FirstChoice, FetchFrom: p.fetchSource(now, request.Key, m), Load: p.load(now, m), Mean: mean}, true
	}
	rank, ok := p.admittedFrom(now, request, mean, pass, 0)
	if !ok {
		return Choice{}, false
	}
	reason := FirstChoice
	if rank > 0 {
		reason = Overflow
	}
	if p.usesForecast(request, pass) {
		if other := p.preferByForecast(now, request, mean, pass, rank); other != rank {
			rank, reason = other, Detour
		}
	}
	m := p.rankedMember(request.Key, rank)
	return Choice{Engine: m.Engine, Reason: reason, FetchFrom: p.fetchSource(now, request.Key, m), Load: p.load(now, m), Mean: mean}, true
}

// admittedFrom returns the first rank, from a given one on, whose engine is usable and admitted by the pass.
func (p *Pool) admittedFrom(now time.Duration, request Request, mean float64, pass rankedPass, from int) (int, bool) {
	admits := func(m *member) bool { return p.admits(now, request, mean, pass, m) }
	for i := from; i < len(p.memberList); i++ {
		if i == rankedPart && !slices.ContainsFunc(p.memberList, admits) {
			return 0, false
		}
		if admits(p.rankedMember(request.Key, i)) {
			return i, true
		}
	}
	return 0, false
}

// admits reports whether an engine is usable and admitted by a pass.
func (p *Pool) admits(now time.Duration, request Request, mean float64, pass rankedPass, m *member) bool {
	// The number of requests is tested first, because it costs least and leaves out most engines of a full pool.
	return m.admitsLoad(p.load(now, m), pass.slotShare) && p.skip(now, request, m, mean, pass) == ""
}

// skip returns why a pass leaves out an engine of a key's order, or an empty string.
func (p *Pool) skip(now time.Duration, request Request, m *member, mean float64, pass rankedPass) string {
	load := p.load(now, m)
	switch {
	case !p.usable(now, m, request):
		return SkipUnusable
	case load >= p.loadBoundOf(now, m, mean, pass):
		return SkipLoaded
	case !m.admitsLoad(load, pass.slotShare*p.partOf(now, m, pass)):
		return SkipFull
	case m.limited() && !pass.anyLimited && !p.keptAt(now, m, request):
		return SkipNotKept
	}
	return ""
}

const (
	// rankedFirst is the length of the computed part of a key's order at first: the forecast looks at three engines, and
	// four cost little more than one.
	rankedFirst = 4
	// rankedPart is the longest part that is computed without the whole order, which costs 50 times as much. It is
	// computed only if an engine is admitted at all: when all are full, every request would need it otherwise.
	rankedPart = 32
)

// rankedMember returns the engine with a rank in the key's order. It extends rankedChoices as
// needed, which Choose empties for each request.
func (p *Pool) rankedMember(key uint64, rank int) *member {
	for rank >= len(p.rankedChoices) {
		length := rankedFirst
		switch {
		case rank >= rankedPart:
			length = len(p.memberList)
		case rank >= rankedFirst:
			length = rankedPart
		}
		p.rankedChoices = p.ranking.Top(key, length, p.rankedChoices)
	}
	return p.memberList[p.rankedChoices[rank].Index]
}

// RecordPromptRead records that an engine has read the prompt of a key.
func (p *Pool) RecordPromptRead(now time.Duration, id fleet.EngineID, key uint64) {
	if key != 0 {
		p.holders.record(now, key, p.holderOf(id))
	}
}

// fetchSource returns the address of the engine that most likely has cached a prompt that m lacks:
// the one that last read it for this instance, otherwise the first established one in the key's
// order that is not paused. It is empty when that engine is m itself or there is none.
func (p *Pool) fetchSource(now time.Duration, key uint64, m *member) string {
	if h, ok := p.holders.lookup(key); ok {
		holder := p.holderMember(h)
		switch {
		case holder == m:
			return ""
		case holder != nil && holder.mayBeRead(now):
			return holder.Addr
		}
	}
	for rank := range p.memberList {
		if rank == rankedPart && !slices.ContainsFunc(p.memberList, func(m *member) bool { return p.established(now, m) && m.mayBeRead(now) }) {
			return ""
		}
		other := p.rankedMember(key, rank)
		if other == m && p.established(now, m) {
			return ""
		}
		if other != m && p.established(now, other) && other.mayBeRead(now) {
			return other.Addr
		}
	}
	return ""
}

// mayBeRead reports whether other engines may fetch prompts from an engine.
func (m *member) mayBeRead(now time.Duration) bool {
	return !m.Evacuated && m.health.admits(now, false)
}

// established reports whether an engine has been in the pool long enough to have cached the prompts
// that rank it first. One that has just started cold is not, also after its warm-up.
func (p *Pool) established(now time.Duration, m *member) bool {
	return m.joinedBeforeFirstRequest || now-m.joinedAt >= p.config.FetchWindow
}

// chooseLeastLoaded returns the engine with the lowest cost, or one whose rate limit must be confirmed.
func (p *Pool) chooseLeastLoaded(now time.Duration, request Request, mean float64) (Choice, bool) {
	var best *member
	leastCost := math.Inf(1)
	start := 0
	if len(p.memberList) > 0 {
		start = p.rng.IntN(len(p.memberList))
	}
	for i := range p.memberList {
		m := p.memberList[(start+i)%len(p.memberList)]
		if !p.usable(now, m, request) {
			continue
		}
		if m.needsProbe(now) {
			best = m
			break
		}
		if cost := p.cost(now, m, request); cost < leastCost {
			best, leastCost = m, cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	reason, source := LeastLoaded, ""
	if request.Key != 0 {
		reason, source = Overflow, p.fetchSource(now, request.Key, best)
	}
	return Choice{Engine: best.Engine, Reason: reason, FetchFrom: source, Load: p.load(now, best), Mean: mean}, true
}

// cost returns the expected wait of one more request relative to an idle local engine of usual
// speed. For requests without a cache key the counts of other instances are left out: such requests
// last milliseconds, and the counts arrive with a delay, so all instances would choose the engine that
// was last announced as idle.
func (p *Pool) cost(now time.Duration, m *member, request Request) float64 {
	load := float64(p.load(now, m)) + 1
	if request.Key == 0 {
		load = float64(p.observedLoad(now, m)) + 1
	}
	if m.DataCentre != request.DataCentre && request.Key == 0 {
		load += p.config.RemotePenalty
	}
	if request.Key == 0 {
		load *= p.paceFactor(now, m)
	}
	return load * m.health.latencyFactor()
}

// chooseLastResort returns the engine whose pause ends first, although it may still be paused: a
// failed connection costs less than a rejected request.
func (p *Pool) chooseLastResort(now time.Duration, request Request, mean float64) (Choice, bool) {
	var best *member
	for _, m := range p.memberList {
		if !m.acceptsNew(now) || !m.mayReceive(now, request) || !request.permits(&m.Engine) {
			continue
		}
		if best == nil || m.health.pausedUntil < best.health.pausedUntil {
			best = m
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Engine: best.Engine, Reason: LastResort, Load: p.load(now, best), Mean: mean}, true
}
