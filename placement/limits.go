package placement

import (
	"math"
	"strconv"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/ratelimit"
)

const (
	// wantedHalfLife is the half-life of the count of requests that have an engine first in their order.
	wantedHalfLife = 4 * time.Second
	// keptShare is the rate of the prompts that an engine keeps, as a multiple of its rate bound. It is
	// above one because requests arrive unevenly: those for which there is no token go elsewhere.
	keptShare = 1.1
)

// RateBound bounds the rate of this instance's requests to an engine.
type RateBound struct {
	// Rate is in requests a second. Burst is the number of requests that can be saved up.
	Rate, Burst float64
	// Ending is set if the engine names no limit any more and the bound rises until it ends. The engine is
	// then used like others as far as the bound allows.
	Ending bool
	// Owner is the instance that admits each request to the engine, or empty if this instance does.
	Owner fleet.InstanceID
}

// rateBound is the state of a RateBound. An engine with a rate limit can serve only some of the prompts that
// have it first in their order. Always the same prompts are kept there and the others go to later engines,
// so that neither alternate between engines that must read them.
type rateBound struct {
	RateBound
	tokens *ratelimit.Bucket
	// deniedUntil is when the owner is asked again.
	deniedUntil time.Duration
	// wanted counts the requests that have the engine first in their order. It decays with wantedHalfLife
	// and was last updated at wantedAt.
	wanted   float64
	wantedAt time.Duration
}

func (b *rateBound) countWanted(now time.Duration) {
	b.wanted = 1 + b.wanted*math.Exp2(-float64(now-b.wantedAt)/float64(wantedHalfLife))
	b.wantedAt = now
}

// wantedRate returns the rate of the requests that have the engine first in their order.
func (b *rateBound) wantedRate() float64 {
	return b.wanted * math.Ln2 / wantedHalfLife.Seconds()
}

// keeps reports whether the engine keeps the prompt of a cache key.
func (b *rateBound) keeps(key uint64, engine fleet.EngineTag) bool {
	hash := fleet.Hash("kept", strconv.FormatUint(key, 16), strconv.FormatUint(uint64(engine), 16))
	return float64(hash)/math.MaxUint64*b.wantedRate() < keptShare*b.Rate
}

// queueShare bounds the load of engines without a rate limit while others have one, as a share of their
// slots. They can't take all that the others don't, and longer queues would make every request late.
const queueShare = 2.0

// limitedPasses applies while engines of the pool have rate limits. These are used for the prompts that
// they keep, and for any prompt only when the other engines are above a bound. A request rather queues at
// the first of the others in its order than go to one with a free slot: these engines hold the prompts of
// several others, and if each was read by many, their caches would lose them and every request be read.
var limitedPasses = []rankedPass{{slotShare: queueShare}, {slotShare: queueShare, anyLimited: true}}

// limited reports whether an engine has a rate limit that does not end.
func (m *member) limited() bool { return m.limit != nil && !m.limit.Ending }

// firstUsable returns the first engine in the key's order that may get the request but for its rate limit
// and its load, or nil.
func (p *Pool) firstUsable(now time.Duration, request Request) *member {
	for rank := range p.memberList {
		if m := p.rankedMember(request.Key, rank); p.usableBut(now, m, request) && m.warmUpAdmits(now) {
			return m
		}
	}
	return nil
}

// countFirst counts a request at the engine that it has first in its order, if that has a rate limit.
func (p *Pool) countFirst(now time.Duration, request Request) {
	if m := p.firstUsable(now, request); m != nil && m.limited() {
		m.limit.countWanted(now)
	}
}

// keptAt reports whether an engine with a rate limit keeps the prompt of a request.
func (p *Pool) keptAt(now time.Duration, m *member, request Request) bool {
	return m == p.firstUsable(now, request) && (m.limit.Owner != "" || m.keeps(now, request.Key))
}

// keeps reports whether an engine serves requests with a cache key that have it first in their order. A
// surplus serves any prompt: without requests the engine could not tell that its limit has ended.
func (m *member) keeps(now time.Duration, key uint64) bool {
	return m.limit.keeps(key, m.tag) || m.limit.tokens.Surplus(now)
}

const (
	// minDenial and maxDenial bound the time for which an instance is told not to ask for an engine again.
	minDenial = 20 * time.Millisecond
	maxDenial = time.Second
	// asksPerAdmission is the number of instances that are told to ask again for each admitted request. With
	// fewer, admissions would stay unused; more cost messages in vain.
	asksPerAdmission = 4
)

// Admit decides, as the owner of an engine's rate limit, whether another instance may send it a request.
// firstChoice reports whether the engine is the first one in the order of the request's cache key. If no
// request is admitted now, retryAfter is the time after which the instance may ask again; it is 0 if only
// this request is denied.
func (p *Pool) Admit(now time.Duration, id fleet.EngineID, key uint64, firstChoice bool) (admitted bool, retryAfter time.Duration) {
	m := p.members[id]
	if m == nil || m.limit == nil || m.limit.Owner != "" {
		return false, minDenial
	}
	if firstChoice {
		m.limit.countWanted(now)
	}
	if wait, ok := m.limit.tokens.NextToken(now); !ok || wait > 0 {
		return false, m.limit.denial(wait)
	}
	if firstChoice && m.limited() && !m.keeps(now, key) {
		return false, 0
	}
	m.limit.tokens.Take(now)
	return true, 0
}

// denial returns the time after which an instance may ask again, given the time until the next token.
func (b *rateBound) denial(wait time.Duration) time.Duration {
	if b.Rate > 0 {
		// Each asking instance gets its turn after so long.
		turn := b.wantedRate() / (asksPerAdmission * b.Rate)
		wait = max(wait, time.Duration(turn*float64(time.Second)))
	}
	return min(max(wait, minDenial), maxDenial)
}

// Denied records that the owner of an engine's rate limit admits no request for some time.
func (p *Pool) Denied(now time.Duration, id fleet.EngineID, retryAfter time.Duration) {
	if m := p.members[id]; m != nil && m.limit != nil {
		m.limit.deniedUntil = now + retryAfter
	}
}

// SetRate bounds the rate of this instance's requests to an engine.
func (p *Pool) SetRate(now time.Duration, id fleet.EngineID, bound RateBound) {
	m := p.members[id]
	if m == nil {
		return
	}
	if m.limit == nil {
		m.limit = &rateBound{tokens: ratelimit.NewBucket(now, bound.Rate, bound.Burst)}
	}
	m.limit.RateBound = bound
	p.totals.stale = true
	m.limit.tokens.SetRate(now, bound.Rate, bound.Burst)
}

// ClearRate removes the bound that SetRate has set.
func (p *Pool) ClearRate(id fleet.EngineID) {
	if m := p.members[id]; m != nil {
		m.limit = nil
		p.totals.stale = true
	}
}

// Accepts reports whether an engine is in the pool, not draining, not in a time for which it refuses requests, and not
// left out for its warm-up.
func (p *Pool) Accepts(now time.Duration, id fleet.EngineID) bool {
	m := p.members[id]
	return m != nil && m.acceptsNew(now) && m.warmUpAdmits(now)
}

// TakeToken counts a request that is sent to an engine against the bounds that SetRate and SetWarmUp have set.
func (p *Pool) TakeToken(now time.Duration, id fleet.EngineID) {
	m := p.members[id]
	if m == nil {
		return
	}
	if m.limit != nil && m.limit.Owner == "" {
		m.limit.tokens.Take(now)
	}
	if m.warming(now) && m.warmUp.tokens != nil {
		m.warmUp.tokens.Take(now)
	}
}

// NextToken returns the time until the rate bound of some usable engine admits a request that no engine
// may receive now. It returns false if that would not help.
func (p *Pool) NextToken(now time.Duration, request Request) (time.Duration, bool) {
	var shortest time.Duration
	found := false
	for _, m := range p.memberList {
		if m.limit == nil || m.warming(now) || !p.usableBut(now, m, request) {
			continue
		}
		if wait, ok := m.limit.nextRequest(now); ok && (!found || wait < shortest) {
			shortest, found = wait, true
		}
	}
	return shortest, found
}

// nextRequest returns the time until a request may be sent or the owner may be asked, or false if never.
func (b *rateBound) nextRequest(now time.Duration) (time.Duration, bool) {
	if b.Owner != "" {
		return max(b.deniedUntil-now, 0), true
	}
	return b.tokens.NextToken(now)
}

// needsProbe reports whether an engine with a rate limit has had no request for long although one was
// allowed. Without requests it can't tell that its limit has ended.
func (m *member) needsProbe(now time.Duration) bool {
	return m.limited() && m.limit.Owner == "" && m.limit.tokens.Unused(now)
}
