// Package placement chooses engines for requests at their entry.
//
// Requests with a cache key go to the first engine in the key's rendezvous order that is healthy
// and under the pool's load bound; all instances agree on that order without messages. Requests
// without a key go to the engine with the least expected wait. The load of an engine is what this
// instance runs there, what other instances told of theirs, and what the engine itself reported
// with its latest answers.
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

// Load is an engine's own report of its work.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Config holds the limits of a Pool. Zero fields take the defaults.
type Config struct {
	// LoadFactor is the most load of an engine as a multiple of the pool's mean. Default 1.5: the
	// users' limit is 2, and the load of other instances is known with a delay.
	LoadFactor float64
	// LoadSlack is added to the bound, so that a nearly idle pool keeps its caches. Default 3, the users' own:
	// with 2, more prompts of nearly idle pools were moved and read again.
	LoadSlack int
	// ReportLife is how long an engine's own report of its load counts. Default 300 ms.
	ReportLife time.Duration
	// FetchWindow is how long after an engine joined its requests name the engine that has cached
	// their prompts so far. Default 20 s, twice the time in which a reread is noticed.
	FetchWindow time.Duration
	// RemotePenalty is the extra load at which an engine of another data centre is as good as a
	// local one for a request without a cache key. Default 1.
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

// Want describes a request that needs an engine.
type Want struct {
	// Key is the hash of the prompt's shared part; 0 without one.
	Key uint64
	// DataCentre is the entry's own.
	DataCentre fleet.DataCentre
	// Exclude lists engines that the request has tried.
	Exclude []fleet.EngineID
	// Proven asks for engines without recent failures, for requests that can't be sent twice.
	Proven bool
}

// Reason tells why an engine was chosen.
type Reason uint8

// Reasons of a choice.
const (
	// Warm is the first engine in the key's order.
	Warm Reason = iota + 1
	// Overflow is a later one, because those before it are loaded or failing.
	Overflow
	// LeastLoaded is the engine with the least expected wait.
	LeastLoaded
	// LastResort is an engine that failed recently, for want of others.
	LastResort
)

// String returns the reason's name as used in logs and metrics.
func (r Reason) String() string {
	return [...]string{"none", "warm", "overflow", "least_loaded", "last_resort"}[r]
}

// Choice is a chosen engine.
type Choice struct {
	Engine Engine
	Reason Reason
	// FetchFrom is an engine that is likely to hold the prompt's cache when Engine does not.
	FetchFrom string
	// Load and Mean are the estimates at the time of the choice.
	Load int
	Mean float64
}

// Pool is the engines of one service. It is not safe for concurrent use.
type Pool struct {
	config  Config
	rng     *rand.Rand
	members map[fleet.EngineID]*member
	order   []*member
	ranking *affinity.Pool
	choices []affinity.Choice
	// used tells that a request was sent to an engine of the pool.
	used    bool
	holders holders
}

// member is an engine with what is known of it.
type member struct {
	Engine
	tag    fleet.EngineTag
	joined time.Duration
	// founding tells that the engine joined before the pool's first request: it holds as much
	// cache as any other.
	founding bool
	own      int
	others   int
	// report is the engine's own report, which counts until reportEnds.
	report     Load
	reportEnds time.Duration
	health     health
}

// New returns an empty pool.
func New(config Config, rng *rand.Rand) *Pool {
	return &Pool{config: config.withDefaults(), rng: rng, members: make(map[fleet.EngineID]*member), ranking: affinity.NewPool(nil)}
}

// SetEngines replaces the pool's engines and keeps what is known of those that stay.
func (p *Pool) SetEngines(now time.Duration, engines []Engine) {
	members := make(map[fleet.EngineID]*member, len(engines))
	p.order = p.order[:0]
	candidates := make([]affinity.Candidate, 0, len(engines))
	for _, e := range engines {
		m := p.members[e.ID]
		if m == nil {
			m = &member{tag: fleet.TagOf(e.ID), joined: now, founding: !p.used}
		}
		m.Engine = e
		members[e.ID] = m
		p.order = append(p.order, m)
		candidates = append(candidates, affinity.Candidate{ID: string(e.ID), Weight: 1})
	}
	p.members = members
	p.ranking = affinity.NewPool(candidates)
}

// Len returns the number of engines that take new work.
func (p *Pool) Len() int {
	n := 0
	for _, m := range p.order {
		if !m.Draining {
			n++
		}
	}
	return n
}

// Started counts a request that was sent to an engine.
func (p *Pool) Started(id fleet.EngineID) {
	p.used = true
	if m := p.members[id]; m != nil {
		m.own++
	}
}

// Ended counts the end of such a request.
func (p *Pool) Ended(id fleet.EngineID) {
	if m := p.members[id]; m != nil && m.own > 0 {
		m.own--
	}
}

// Reported takes an engine's own report of its load.
func (p *Pool) Reported(now time.Duration, id fleet.EngineID, load Load) {
	if m := p.members[id]; m != nil {
		m.report = load
		m.reportEnds = now + p.config.ReportLife
	}
}

// SetOthers sets the requests that other instances run, by engine. Engines left out have none.
func (p *Pool) SetOthers(counts map[fleet.EngineTag]int) {
	for _, m := range p.order {
		m.others = counts[m.tag]
	}
}

// OwnCounts calls each with the engines on which this instance runs requests.
func (p *Pool) OwnCounts(each func(tag fleet.EngineTag, count int)) {
	for _, m := range p.order {
		if m.own > 0 {
			each(m.tag, m.own)
		}
	}
}

// load is the best estimate of the requests at an engine.
func (p *Pool) load(now time.Duration, m *member) int {
	return max(m.own+m.others, p.ownLoad(now, m))
}

// ownLoad is the load of an engine as this instance has seen it.
func (p *Pool) ownLoad(now time.Duration, m *member) int {
	if now < m.reportEnds {
		return max(m.own, m.report.Running+m.report.Waiting)
	}
	return m.own
}

// Choose returns an engine for a request, or false if none may take it.
func (p *Pool) Choose(now time.Duration, w Want) (Choice, bool) {
	mean := p.mean(now)
	p.choices = p.choices[:0]
	if w.Key != 0 {
		for _, queue := range []bool{false, true} {
			if c, ok := p.chooseWarm(now, w, mean, queue); ok {
				return c, true
			}
		}
	}
	if c, ok := p.chooseLeast(now, w, mean); ok {
		return c, true
	}
	return p.chooseLastResort(now, w, mean)
}

// mean returns the mean load of the engines that take work.
func (p *Pool) mean(now time.Duration) float64 {
	sum, n := 0, 0
	for _, m := range p.order {
		if !m.Draining {
			sum += p.load(now, m)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return float64(sum) / float64(n)
}

// bound is the most load at which an engine takes one more request with a cache key.
func (p *Pool) bound(mean float64) int {
	return int(math.Ceil(p.config.LoadFactor*mean)) + p.config.LoadSlack
}

func (p *Pool) usable(now time.Duration, m *member, w Want) bool {
	return !m.Draining && m.health.admits(now, w.Proven) && !slices.Contains(w.Exclude, m.ID)
}

// chooseWarm walks the key's rendezvous order. Engines without a free slot are left out unless queue
// is set. Once all are full a request waits at the first one under the bound: were it sent to the
// least loaded engine instead, all instances would choose the same one until its load is told.
func (p *Pool) chooseWarm(now time.Duration, w Want, mean float64, queue bool) (Choice, bool) {
	bound := p.bound(mean)
	for i := range p.order {
		m := p.ranked(w.Key, i)
		if !p.usable(now, m, w) || p.load(now, m) >= bound || !queue && p.full(now, m) {
			continue
		}
		reason := Warm
		if i > 0 {
			reason = Overflow
		}
		return Choice{Engine: m.Engine, Reason: reason, FetchFrom: p.fetchSource(now, w.Key, m), Load: p.load(now, m), Mean: mean}, true
	}
	return Choice{}, false
}

// firstRanked is the number of engines of a prompt's order that are looked at first. Most requests
// go to the first one; in a pool of 3,000 the whole order costs 100 times as much.
const firstRanked = 8

// ranked returns the engine at a place in the order of the key for which choices were begun.
func (p *Pool) ranked(key uint64, place int) *member {
	for place >= len(p.choices) {
		p.choices = p.ranking.Top(key, firstRanked*max(1, len(p.choices)), p.choices)
	}
	return p.order[p.choices[place].Index]
}

// Answered notes that an engine has read the prompt of a key.
func (p *Pool) Answered(now time.Duration, id fleet.EngineID, key uint64) {
	if key != 0 {
		p.holders.note(now, key, id)
	}
}

// fetchSource returns the address of the engine that most likely holds a prompt that m lacks: the
// one that this instance last saw read it, else the first in the key's order besides m that has been
// in the pool for long. It is empty when that is m itself.
func (p *Pool) fetchSource(now time.Duration, key uint64, m *member) string {
	if id, ok := p.holders.of(key); ok {
		holder := p.members[id]
		switch {
		case holder == m:
			return ""
		case holder != nil && holder.health.admits(now, false):
			return holder.Addr
		}
	}
	for place := range p.order {
		other := p.ranked(key, place)
		if other == m && p.settled(now, m) {
			return ""
		}
		if other != m && p.settled(now, other) && other.health.admits(now, false) {
			return other.Addr
		}
	}
	return ""
}

func (p *Pool) settled(now time.Duration, m *member) bool {
	return m.founding || now-m.joined >= p.config.FetchWindow
}

// full reports whether an engine would only queue one more request.
func (p *Pool) full(now time.Duration, m *member) bool {
	return m.Slots > 0 && p.load(now, m) >= m.Slots
}

// chooseLeast returns the engine with the least expected wait.
func (p *Pool) chooseLeast(now time.Duration, w Want, mean float64) (Choice, bool) {
	var best *member
	least := math.Inf(1)
	first := 0
	if len(p.order) > 0 {
		first = p.rng.IntN(len(p.order))
	}
	for i := range p.order {
		m := p.order[(first+i)%len(p.order)]
		if !p.usable(now, m, w) {
			continue
		}
		if cost := p.cost(now, m, w); cost < least {
			best, least = m, cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	reason, source := LeastLoaded, ""
	if w.Key != 0 {
		reason, source = Overflow, p.fetchSource(now, w.Key, best)
	}
	return Choice{Engine: best.Engine, Reason: reason, FetchFrom: source, Load: p.load(now, best), Mean: mean}, true
}

// cost is the expected wait of one more request relative to an idle local engine of usual speed.
// Without a cache key the load of other instances does not count: such requests last milliseconds
// and are told of later, so that all instances would choose the same engine at once.
func (p *Pool) cost(now time.Duration, m *member, w Want) float64 {
	load := float64(p.load(now, m)) + 1
	if w.Key == 0 {
		load = float64(p.ownLoad(now, m)) + 1
	}
	if m.DataCentre != w.DataCentre && w.Key == 0 {
		load += p.config.RemotePenalty
	}
	return load * m.health.slowness()
}

// chooseLastResort returns the failing engine whose pause ends first: a refused connection costs
// less than a refused request.
func (p *Pool) chooseLastResort(now time.Duration, w Want, mean float64) (Choice, bool) {
	var best *member
	for _, m := range p.order {
		if m.Draining || slices.Contains(w.Exclude, m.ID) {
			continue
		}
		if best == nil || m.health.until < best.health.until {
			best = m
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Engine: best.Engine, Reason: LastResort, Load: p.load(now, best), Mean: mean}, true
}
