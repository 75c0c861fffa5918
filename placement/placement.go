// Package placement chooses engines for requests at the instance that received them.
//
// A request with a cache key goes to the first engine in the key's rendezvous order that is healthy
// and below the pool's load bound, which is lower for slow engines while another has a free slot. All
// instances compute the same order without exchanging messages. A request without a key goes to the
// engine with the shortest expected wait. The load of an engine is estimated from the requests that
// this instance runs there, the counts that other instances announced, and the load that the engine
// reported with its latest answers.
//
// Where requests name their tokens, a forecast of the first event lets a prompt leave an engine that is reading others.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/forecast"
)

// Engine is a member of a pool.
type Engine struct {
	ID         fleet.EngineID
	Addr       string
	DataCentre fleet.DataCentre
	Slots      int
	Draining   bool
	// Evacuated is set while the operator wants nothing to be sent to the engines of the data centre.
	Evacuated bool
	// QuietUntil is until when the engine wants no request from this instance.
	QuietUntil time.Duration
	// Incarnation differs for each start of the engine; it is 0 if unknown.
	Incarnation uint64
	// Version is the version of the engine's software. Opening is set while no resumable stream may begin there.
	Version fleet.EngineVersion
	Opening bool
}

// Load is the load that an engine reports of itself, in requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// PacePercent is how long work takes on the engine's machine now, in percent of the usual time; 0 if unknown.
	PacePercent float64
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
	// Forecast lets forecasts and the pace figures of engines decide.
	Forecast bool
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
	// AvoidLost avoids engines that lost their last connection. It is set for a request that another engine runs: an engine that
	// fails at once looks free, and gets the requests of all instances whose engines are slow.
	AvoidLost bool
	// Tokens holds the request's tokens. If they are unknown, no forecast is made.
	Tokens Tokens
	// TargetLeft is the time that is left of the route's target latency; 0 if there is none.
	TargetLeft time.Duration
	// AvoidAsking leaves out engines whose rate limit another instance enforces.
	AvoidAsking bool
	// Begins is set for a resumable stream. OnlyVersion is the version at which it must go on if it has begun, or nil.
	Begins      bool
	OnlyVersion *fleet.EngineVersion
}

// permits reports whether an engine may get the request at all: it has not got it before, and it runs the right version.
func (r *Request) permits(e *Engine) bool {
	return !slices.Contains(r.Exclude, e.ID) && r.permitsVersion(e)
}

func (r *Request) permitsVersion(e *Engine) bool {
	if r.OnlyVersion != nil {
		return *r.OnlyVersion == e.Version
	}
	return !r.Begins || !e.Opening
}

// Tokens counts the tokens of a request. The zero value means that they are unknown.
type Tokens struct {
	// Prompt is the length of the whole prompt. Own is that of its last part, which no other request shares.
	Prompt, Own int
	// Output is the expected length of the output; 0 if unknown.
	Output int
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
	// Detour is a later engine in the key's order, because those before it are expected to miss the target.
	Detour
)

// String returns the reason's name as used in logs and metrics. There FirstChoice is called warm: the
// engine is likely to have the prompt cached.
func (r Reason) String() string {
	return [...]string{"none", "warm", "overflow", "least_loaded", "last_resort", "detour"}[r]
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
	// Cold reports whether the engine warms up.
	Cold bool
	// Load and Mean are the estimated loads of the engine and of the pool at the time of the choice.
	Load int
	Mean float64
	// Reading is what is expected of the reading of the prompt, if the request names its tokens.
	Reading Reading
}

// HasFreeSlot reports whether the engine can begin a request at once. Otherwise it queues the request, or rejects it.
func (c Choice) HasFreeSlot() bool { return c.Engine.admitsLoad(c.Load, 1) }

// Pool holds the engines of one service. It is not safe for concurrent use.
type Pool struct {
	config  Config
	rng     *rand.Rand
	members map[fleet.EngineID]*member
	// departed holds the engines that have left the pool and still run requests of this instance.
	departed      map[fleet.EngineID]*member
	memberList    []*member
	membersByTag  map[fleet.EngineTag]*member
	ranking       *affinity.Pool
	rankedChoices []affinity.Choice
	// requestSent is set once a request was sent to an engine of the pool.
	requestSent bool
	holders     cacheHolders
	totals      loadTotals
	// readers holds the engines to which prompts were last sent that were not cached there.
	readers        cacheHolders
	model          forecast.Model
	shortestTarget time.Duration
	// usual is the usual pace of the engines, until usualPaceUntil. paces is a buffer.
	usual          float64
	usualPaceUntil time.Duration
	paces          []float64
}

// member is an engine of a pool with its load and health as this instance knows them.
type member struct {
	Engine
	tag      fleet.EngineTag
	joinedAt time.Duration
	// drainingSince is when Draining was set last.
	drainingSince time.Duration
	// joinedBeforeFirstRequest engines have as much in their caches as any other engine.
	joinedBeforeFirstRequest bool
	// ownRequests is the number of requests that this instance runs at the engine.
	ownRequests int
	// announcedRequests is the number of requests there that other instances announced.
	announcedRequests int
	// report is the load that the engine reported. It is used until reportExpires.
	report        Load
	reportExpires time.Duration
	// countedLoad is the load with which the engine is counted in the pool's totals.
	countedLoad int
	// countedCold is set while the totals count the engine as cold.
	countedCold bool
	unread      unread
	// sinceReport is the number of requests that this instance has sent since the report, less those that have ended.
	sinceReport int
	health      health
	pace        pace
	// limit bounds the rate of this instance's requests to an engine that has named a rate limit; nil
	// without one.
	limit *rateBound
	// warmUp bounds the rate of this instance's requests while the engine is cold; nil if it never was.
	warmUp *warmUp
	// restarted is set when the engine was started again since it joined or since its last start that was cold;
	// startedCold once one was: what an earlier process had cached is then gone.
	restarted, startedCold bool
}

// New returns an empty pool.
func New(config Config, rng *rand.Rand) *Pool {
	return &Pool{config: config.withDefaults(), rng: rng, members: make(map[fleet.EngineID]*member), ranking: affinity.NewPool(nil)}
}

// SetEngines replaces the pool's engines. Engines that stay keep their load and health.
func (p *Pool) SetEngines(now time.Duration, engines []Engine) {
	members := make(map[fleet.EngineID]*member, len(engines))
	p.membersByTag = make(map[fleet.EngineTag]*member, len(engines))
	p.memberList = p.memberList[:0]
	candidates := make([]affinity.Candidate, 0, len(engines))
	for _, e := range engines {
		m := p.members[e.ID]
		if m == nil {
			m = &member{tag: fleet.TagOf(e.ID), joinedAt: now, joinedBeforeFirstRequest: !p.requestSent}
			p.takeDeparted(m, e.ID)
		}
		m.restarted = m.restarted || e.Incarnation != m.Incarnation && m.joinedAt != now
		m.setEngine(now, e)
		members[e.ID] = m
		p.membersByTag[m.tag] = m
		p.memberList = append(p.memberList, m)
		candidates = append(candidates, affinity.Candidate{ID: string(e.ID), Weight: 1})
	}
	p.keepDeparted(members)
	p.members = members
	p.ranking = affinity.NewPool(candidates)
	p.totals.stale = true
}

// SetDraining marks an engine that gets no new requests, until the next SetEngines.
func (p *Pool) SetDraining(now time.Duration, id fleet.EngineID) {
	if m := p.members[id]; m != nil {
		e := m.Engine
		e.Draining = true
		m.setEngine(now, e)
		p.totals.stale = true
	}
}

// SetQuiet sets until when an engine gets no request because it wants none.
func (p *Pool) SetQuiet(id fleet.EngineID, until time.Duration) {
	if m := p.members[id]; m != nil {
		m.QuietUntil = until
	}
}

// NextQuietEnd returns the time until the first engine that wants no request now may get one, or false if
// there is no such engine.
func (p *Pool) NextQuietEnd(now time.Duration, request Request) (time.Duration, bool) {
	shortest, found := time.Duration(0), false
	for _, m := range p.memberList {
		if !m.inService() || now >= m.QuietUntil || !request.permits(&m.Engine) {
			continue
		}
		if wait := m.QuietUntil - now; !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	return shortest, found
}

// inService reports whether an engine gets new requests at all: it is neither draining nor evacuated.
func (e Engine) inService() bool { return !e.Draining && !e.Evacuated }

// acceptsNew reports whether an engine is in service and not in a time for which it wants no request.
func (m *member) acceptsNew(now time.Duration) bool { return m.inService() && now >= m.QuietUntil }

// Len returns the number of engines in service.
func (p *Pool) Len() int {
	p.sumLoads()
	return p.totals.inService
}

// Offers reports whether an engine of a version is in service.
func (p *Pool) Offers(version fleet.EngineVersion) bool {
	return slices.ContainsFunc(p.memberList, func(m *member) bool { return m.inService() && m.Version == version })
}

// OnlyEvacuated reports whether the pool has evacuated engines and no engine in service.
func (p *Pool) OnlyEvacuated() bool {
	evacuated := slices.ContainsFunc(p.memberList, func(m *member) bool { return m.Evacuated && !m.Draining })
	return evacuated && p.Len() == 0
}

// Started counts a request that was sent to an engine.
func (p *Pool) Started(id fleet.EngineID) {
	p.requestSent = true
	if m := p.members[id]; m != nil {
		m.ownRequests++
		p.loadChanged(m)
		m.sinceReport++
	}
}

// Ended counts the end of a request that Started counted.
func (p *Pool) Ended(id fleet.EngineID) {
	if m := p.counted(id); m != nil && m.ownRequests > 0 {
		m.ownRequests--
		p.loadChanged(m)
		m.sinceReport--
		p.forgetIdle(id)
	}
}

// RecordLoadReport records the load that an engine reported.
func (p *Pool) RecordLoadReport(now time.Duration, id fleet.EngineID, load Load) {
	if m := p.members[id]; m != nil {
		m.report = load
		m.sinceReport = 0
		m.reportExpires = now + p.config.ReportLife
		p.reportReceived(now, m)
	}
}

// SetAnnouncedCounts sets the number of requests that other instances announced, by engine. It is 0
// for engines that counts lacks.
func (p *Pool) SetAnnouncedCounts(counts map[fleet.EngineTag]int) {
	for _, m := range p.memberList {
		m.announcedRequests = counts[m.tag]
	}
	p.totals.stale = true
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
