// Package placement chooses engines for requests at the instance that received them.
//
// A request with a cache key goes to the first engine in the key's rendezvous order that is healthy
// and below the pool's load bound; all instances compute the same order without exchanging
// messages. A request without a key goes to the engine with the shortest expected wait. The load of
// an engine is estimated from the requests that this instance runs there, the counts that other
// instances announced, and the load that the engine reported with its latest answers.
package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
)

// Engine is a member of a pool.
type Engine struct {
	ID         fleet.EngineID
	Addr       string
	DataCentre fleet.DataCentre
	Slots      int
	Draining   bool
}

// Load is the load that an engine reports of itself, in requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Config holds the limits of a Pool. Zero fields take the defaults.
type Config struct {
	// LoadFactor is the maximum load of an engine as a multiple of the pool's mean. Default 1.5: the
	// required limit is 2, and the load from other instances is known only with a delay.
	LoadFactor float64
	// LoadSlack is added to the bound, so that prompts of a nearly idle pool stay at the engines
	// that cached them. Default 3, the required value: with 2, more prompts of nearly idle pools
	// were moved and read again.
	LoadSlack int
	// ReportLife is how long a load reported by an engine is used. Default 300 ms.
	ReportLife time.Duration
	// FetchWindow is the time after an engine joined during which a request with a cache key that is
	// sent to it names the engine that probably cached the prompt before. Default 20 s, twice the time
	// within which a reread counts as a cache miss.
	FetchWindow time.Duration
	// RemotePenalty is added to the load of engines in other data centres when a request without a
	// cache key is placed. Default 1.
	RemotePenalty float64
}

func (c Config) withDefaults() Config {
	if c.LoadFactor <= 0 {
		c.LoadFactor = 1.5
	}
	if c.LoadSlack <= 0 {
		c.LoadSlack = 3
	}
	if c.ReportLife <= 0 {
		c.ReportLife = 300 * time.Millisecond
	}
	if c.FetchWindow <= 0 {
		c.FetchWindow = 20 * time.Second
	}
	if c.RemotePenalty <= 0 {
		c.RemotePenalty = 1
	}
	return c
}

// Request describes a request that needs an engine.
type Request struct {
	// Key is the cache key: the hash of the prompt's shared part; 0 if the request has none.
	Key uint64
	// DataCentre is that of the instance which received the request.
	DataCentre fleet.DataCentre
	// Exclude lists engines that the request was already sent to, and those for which the owner of the rate
	// limit did not admit it.
	Exclude []fleet.EngineID
	// AvoidRecentlyPaused avoids engines that have not succeeded since their last pause. It is set
	// for requests that can't be sent twice.
	AvoidRecentlyPaused bool
	// AvoidAsking leaves out engines whose rate limit another instance enforces.
	AvoidAsking bool
}

// Reason is why an engine was chosen.
type Reason uint8

// Reasons of a choice.
const (
	// FirstChoice is the first engine in the key's order.
	FirstChoice Reason = iota + 1
	// Overflow is a later engine in the key's order, because those before it were loaded or failing.
	Overflow
	// LeastLoaded is the engine with the shortest expected wait.
	LeastLoaded
	// LastResort is a paused engine, chosen because there was no other.
	LastResort
)

// String returns the reason's name as used in logs and metrics. There FirstChoice is called warm: the
// engine is likely to have the prompt cached.
func (r Reason) String() string {
	return [...]string{"none", "warm", "overflow", "least_loaded", "last_resort"}[r]
}

// Choice is a chosen engine.
type Choice struct {
	Engine Engine
	Reason Reason
	// FetchFrom is an engine that is likely to hold the prompt's cache when Engine does not.
	FetchFrom string
	// Owner is the instance that must admit the request because of the engine's rate limit, or empty.
	// IsFirst reports whether the engine is the first one in the order of the request's cache key.
	Owner   fleet.InstanceID
	IsFirst bool
	// Load and Mean are the estimated loads of the engine and of the pool at the time of the choice.
	Load int
	Mean float64
}

// Pool holds the engines of one service. It is not safe for concurrent use.
type Pool struct {
	config        Config
	rng           *rand.Rand
	members       map[fleet.EngineID]*member
	memberList    []*member
	ranking       *affinity.Pool
	rankedChoices []affinity.Choice
	// requestSent is set once a request was sent to an engine of the pool.
	requestSent bool
	holders     cacheHolders
}

// member is an engine of a pool with its load and health as this instance knows them.
type member struct {
	Engine
	tag      fleet.EngineTag
	joinedAt time.Duration
	// joinedBeforeFirstRequest engines have as much in their caches as any other engine.
	joinedBeforeFirstRequest bool
	// ownRequests is the number of requests that this instance runs at the engine.
	ownRequests int
	// announcedRequests is the number of requests there that other instances announced.
	announcedRequests int
	// report is the load that the engine reported. It is used until reportExpires.
	report        Load
	reportExpires time.Duration
	health        health
	// limit bounds the rate of this instance's requests to an engine that has named a rate limit; nil
	// without one.
	limit *rateBound
}

// New returns an empty pool.
func New(config Config, rng *rand.Rand) *Pool {
	return &Pool{config: config.withDefaults(), rng: rng, members: make(map[fleet.EngineID]*member), ranking: affinity.NewPool(nil)}
}

// SetEngines replaces the pool's engines. Engines that stay keep their load and health.
func (p *Pool) SetEngines(now time.Duration, engines []Engine) {
	members := make(map[fleet.EngineID]*member, len(engines))
	p.memberList = p.memberList[:0]
	candidates := make([]affinity.Candidate, 0, len(engines))
	for _, e := range engines {
		m := p.members[e.ID]
		if m == nil {
			m = &member{tag: fleet.TagOf(e.ID), joinedAt: now, joinedBeforeFirstRequest: !p.requestSent}
		}
		m.Engine = e
		members[e.ID] = m
		p.memberList = append(p.memberList, m)
		candidates = append(candidates, affinity.Candidate{ID: string(e.ID), Weight: 1})
	}
	p.members = members
	p.ranking = affinity.NewPool(candidates)
}

// Len returns the number of engines that are not draining.
func (p *Pool) Len() int {
	n := 0
	for _, m := range p.memberList {
		if !m.Draining {
			n++
		}
	}
	return n
}

// Started counts a request that was sent to an engine.
func (p *Pool) Started(id fleet.EngineID) {
	p.requestSent = true
	if m := p.members[id]; m != nil {
		m.ownRequests++
	}
}

// Ended counts the end of a request that Started counted.
func (p *Pool) Ended(id fleet.EngineID) {
	if m := p.members[id]; m != nil && m.ownRequests > 0 {
		m.ownRequests--
	}
}

// RecordLoadReport records the load that an engine reported.
func (p *Pool) RecordLoadReport(now time.Duration, id fleet.EngineID, load Load) {
	if m := p.members[id]; m != nil {
		m.report = load
		m.reportExpires = now + p.config.ReportLife
	}
}

// SetAnnouncedCounts sets the number of requests that other instances announced, by engine. It is 0
// for engines that counts lacks.
func (p *Pool) SetAnnouncedCounts(counts map[fleet.EngineTag]int) {
	for _, m := range p.memberList {
		m.announcedRequests = counts[m.tag]
	}
}

// EachOwnCount calls visit with each engine at which this instance runs requests, and their number.
func (p *Pool) EachOwnCount(visit func(tag fleet.EngineTag, count int)) {
	for _, m := range p.memberList {
		if m.ownRequests > 0 {
			visit(m.tag, m.ownRequests)
		}
	}
}

// load returns the estimated number of requests at an engine from all instances.
func (p *Pool) load(now time.Duration, m *member) int {
	return max(m.ownRequests+m.announcedRequests, p.observedLoad(now, m))
}

// observedLoad returns the load of an engine without the counts that other instances announced.
func (p *Pool) observedLoad(now time.Duration, m *member) int {
	if now < m.reportExpires {
		return max(m.ownRequests, m.report.Running+m.report.Waiting)
	}
	return m.ownRequests
}

// Choose returns an engine for a request, or false if every engine is draining, excluded or may not get
// more requests because of its rate limit. For a request with a cache key, an engine with a free slot is
// preferred to one that would queue it.
func (p *Pool) Choose(now time.Duration, request Request) (Choice, bool) {
	choice, ok := p.choose(now, request)
	if m := p.members[choice.Engine.ID]; ok && m.limit != nil && m.limit.Owner != "" {
		choice.Owner = m.limit.Owner
		choice.IsFirst = request.Key != 0 && m == p.firstUsable(now, request)
	}
	return choice, ok
}

func (p *Pool) choose(now time.Duration, request Request) (Choice, bool) {
	mean := p.mean(now)
	p.rankedChoices = p.rankedChoices[:0]
	limited := p.hasLimits()
	if request.Key != 0 {
		p.countFirst(now, request)
		passes := usualPasses
		if limited {
			passes = limitedPasses
		}
		for _, pass := range passes {
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

// mean returns the mean load of the engines that are not draining. Engines with a rate limit count only
// if all have one: they carry less than the others, which must be able to carry more.
func (p *Pool) mean(now time.Duration) float64 {
	sum, n, limitedSum, limited := 0, 0, 0, 0
	for _, m := range p.memberList {
		switch {
		case m.Draining:
		case m.limit != nil:
			limitedSum += p.load(now, m)
			limited++
		default:
			sum += p.load(now, m)
			n++
		}
	}
	if n == 0 {
		sum, n = limitedSum, limited
	}
	if n == 0 {
		return 0
	}
	return float64(sum) / float64(n)
}

// loadBound returns the load from which an engine is skipped in a key's order.
func (p *Pool) loadBound(mean float64) int {
	return int(math.Ceil(p.config.LoadFactor*mean)) + p.config.LoadSlack
}

// usable reports whether an engine may get a request, regardless of its load.
func (p *Pool) usable(now time.Duration, m *member, request Request) bool {
	return m.mayReceive(now, request) && p.usableBut(now, m, request)
}

// usableBut reports whether an engine may get a request, regardless of its load and its rate limit.
func (p *Pool) usableBut(now time.Duration, m *member, request Request) bool {
	return !m.Draining && m.health.admits(now, request.AvoidRecentlyPaused) && !slices.Contains(request.Exclude, m.ID)
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
	// anyLimited admits engines with a rate limit for prompts that are not kept there.
	anyLimited bool
}

// usualPasses prefers engines with a free slot. When all engines are full, a request queues at the first
// one below the load bound: if it went to the least loaded engine instead, all instances would choose the
// same one until its new load is announced.
var usualPasses = []rankedPass{{slotShare: 1}, {slotShare: math.Inf(1)}}

// chooseRanked returns the first usable engine in the key's rendezvous order that the pass admits.
func (p *Pool) chooseRanked(now time.Duration, request Request, mean float64, pass rankedPass) (Choice, bool) {
	bound := p.loadBound(mean)
	for i := range p.memberList {
		m := p.rankedMember(request.Key, i)
		load := p.load(now, m)
		switch {
		case !p.usable(now, m, request), load >= bound, !m.admitsLoad(load, pass.slotShare):
			continue
		case m.limited() && !pass.anyLimited && !p.keptAt(now, m, request):
			continue
		}
		reason := FirstChoice
		if i > 0 {
			reason = Overflow
		}
		return Choice{Engine: m.Engine, Reason: reason, FetchFrom: p.fetchSource(now, request.Key, m), Load: p.load(now, m), Mean: mean}, true
	}
	return Choice{}, false
}

// initialRanked is the number of engines of a key's order that are computed at first. Most requests
// go to the first one; in a pool of 3,000 engines the whole order costs 100 times as much.
const initialRanked = 8

// rankedMember returns the engine with a rank in the key's order. It extends rankedChoices as
// needed, which Choose empties for each request.
func (p *Pool) rankedMember(key uint64, rank int) *member {
	for rank >= len(p.rankedChoices) {
		p.rankedChoices = p.ranking.Top(key, initialRanked*max(1, len(p.rankedChoices)), p.rankedChoices)
	}
	return p.memberList[p.rankedChoices[rank].Index]
}

// RecordPromptRead records that an engine has read the prompt of a key.
func (p *Pool) RecordPromptRead(now time.Duration, id fleet.EngineID, key uint64) {
	if key != 0 {
		p.holders.record(now, key, id)
	}
}

// fetchSource returns the address of the engine that most likely has cached a prompt that m lacks:
// the one that last read it for this instance, otherwise the first established one in the key's
// order that is not paused. It is empty when that engine is m itself or there is none.
func (p *Pool) fetchSource(now time.Duration, key uint64, m *member) string {
	if id, ok := p.holders.lookup(key); ok {
		holder := p.members[id]
		switch {
		case holder == m:
			return ""
		case holder != nil && holder.health.admits(now, false):
			return holder.Addr
		}
	}
	for rank := range p.memberList {
		other := p.rankedMember(key, rank)
		if other == m && p.established(now, m) {
			return ""
		}
		if other != m && p.established(now, other) && other.health.admits(now, false) {
			return other.Addr
		}
	}
	return ""
}

// established reports whether an engine has been in the pool long enough to have cached the prompts
// that rank it first.
func (p *Pool) established(now time.Duration, m *member) bool {
	return m.joinedBeforeFirstRequest || now-m.joinedAt >= p.config.FetchWindow
}

// chooseLeastLoaded returns the engine with the lowest cost.
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
	return load * m.health.latencyFactor()
}

// chooseLastResort returns the engine whose pause ends first, although it may still be paused: a
// failed connection costs less than a rejected request.
func (p *Pool) chooseLastResort(now time.Duration, request Request, mean float64) (Choice, bool) {
	var best *member
	for _, m := range p.memberList {
		if m.Draining || !m.mayReceive(now, request) || slices.Contains(request.Exclude, m.ID) {
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
