package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/harness"
)

const (
	service = fleet.ServiceID("chat")
	region  = fleet.Region("region")
	// loadBound is c of the design.
	loadBound = 1.25
	// settle is the time for instances to start and take over their engines.
	settle = 16 * time.Second
)

// size is a deployment.
type size struct {
	name                                      string
	instances, engines, customers, dataCentre int
	// mixed gives every second engine the double capacity.
	mixed bool
}

func (z size) capacity(i int) int {
	if z.mixed && i%2 == 0 {
		return 2
	}
	return 1
}

func (z size) slots() int {
	sum := 0
	for i := range z.engines {
		sum += slotsPer * z.capacity(i)
	}
	return sum
}

// plan is one session.
type plan struct {
	size   size
	policy string
	seed   uint64
	// load is the wanted share of all slots in use.
	load float64
	// warm and measured are the times before and of the measurement.
	warm, measured time.Duration
	churn          bool
	surge          *surge
	// fault, if set, happens after the warm-up.
	fault func(*session)
}

// router is a policy that places requests on engines.
type router interface {
	submit(a arrival) *harness.Call
	// load returns the requests that the policy has put on an engine.
	load(e *harness.Engine) int
	// enginesChanged follows a change of the list of engines.
	enginesChanged()
}

// session is a plan in progress.
type session struct {
	*harness.Harness
	plan    plan
	router  router
	rows    []harness.EngineRow
	engines []*harness.Engine
	byID    map[fleet.EngineID]harness.EngineRow
	rng     *rand.Rand
	origin  time.Duration
	trace   []arrival
	calls   []*harness.Call
	meter   meter
}

// run runs a plan and returns what was measured.
func run(p plan) result {
	s := &session{
		Harness: harness.New(harness.Config{Seed: p.seed, Core: core.Config{}}),
		plan:    p,
		byID:    make(map[fleet.EngineID]harness.EngineRow),
		rng:     rand.New(rand.NewPCG(p.seed, 77)),
	}
	for i := range p.size.engines {
		s.addEngine(i, 0)
	}
	s.router = newRouter(s)
	s.publish()
	s.Run(settle)
	s.origin = s.Now()
	end := p.warm + p.measured
	s.trace = p.trace(end)
	s.calls = make([]*harness.Call, len(s.trace))
	s.arrive(0)
	s.measure()
	if p.churn {
		s.churn(0, 1)
	}
	if p.fault != nil {
		s.After(p.warm, func() { p.fault(s) })
	}
	s.Run(end)
	s.meter.stop(s)
	s.Run(40 * time.Second)
	return s.result()
}

// trace returns a trace whose work, without the surge, fills the wanted share of the slots in
// the measured time. A first trace gives the factor, since long pauses go beyond the end.
func (p plan) trace(end time.Duration) []arrival {
	c := traceConfig{seed: p.seed, customers: p.size.customers, end: end}
	slots := float64(p.size.slots())
	c.rate = p.load * slots / meanService().Seconds()
	work := 0.0
	for _, a := range newTrace(c) {
		if a.at >= p.warm {
			work += a.service().Seconds()
		}
	}
	c.rate *= p.load * slots * p.measured.Seconds() / max(work, 1)
	c.surge = p.surge
	return newTrace(c)
}

func (s *session) addEngine(i, generation int) {
	id := fleet.EngineID(fmt.Sprintf("engine-%d-%d", i, generation))
	capacity := s.plan.size.capacity(i)
	row := harness.EngineRow{
		ID: id, Region: region, Slots: slotsPer * capacity, Capacity: float64(capacity),
		DataCentre: s.dataCentre(i),
	}
	e := s.AddEngine(id, harness.EngineConfig{
		Prefill: prefill, WarmPrefill: warmPrefill, PerToken: perToken,
		CacheChats: cacheChats * capacity, EventLag: time.Second, DropEvents: 50,
	})
	s.byID[id] = row
	if i == len(s.rows) {
		s.rows, s.engines = append(s.rows, row), append(s.engines, e)
		return
	}
	s.rows[i], s.engines[i] = row, e
}

func (s *session) dataCentre(i int) fleet.DataCentre {
	return fleet.DataCentre(fmt.Sprintf("dc-%d", i%s.plan.size.dataCentre))
}

func (s *session) publish() {
	s.PublishNow(map[string][]byte{
		"team/chat.yaml":      harness.ServiceFile{ID: service, Engines: s.rows}.YAML(),
		"team/customers.yaml": harness.Customers(s.plan.size.customers, 100_000),
	})
	s.router.enginesChanged()
}

// churn replaces one engine of ten a minute, one after another, by engines with empty caches.
func (s *session) churn(next, generation int) {
	interval := time.Minute * 10 / time.Duration(s.plan.size.engines)
	s.After(interval, func() {
		s.addEngine(next, generation)
		s.publish()
		if next++; next == len(s.rows) {
			next, generation = 0, generation+1
		}
		s.churn(next, generation)
	})
}

// arrive submits the requests of the trace from number i on.
func (s *session) arrive(i int) {
	if i == len(s.trace) {
		return
	}
	s.After(s.origin+s.trace[i].at-s.Now(), func() {
		s.meter.warmAt = append(s.meter.warmAt, s.warmPlace(s.trace[i]))
		s.calls[i] = s.router.submit(s.trace[i])
		s.arrive(i + 1)
	})
}

// fleetRouter sends requests to the reducers, as the balancer would.
type fleetRouter struct{ s *session }

func newFleet(s *session) router {
	for i := range s.plan.size.instances {
		s.AddNode(fleet.InstanceID(fmt.Sprintf("instance-%d", i)), s.dataCentre(i), region)
	}
	return &fleetRouter{s}
}

func (r *fleetRouter) submit(a arrival) *harness.Call {
	nodes := r.s.Nodes
	node := nodes[a.entry%len(nodes)]
	for k := range nodes {
		if n := nodes[(a.entry+k)%len(nodes)]; n.Up && n.Ready {
			node = n
			break
		}
	}
	return r.s.Submit(node, harness.Chat(a.customer, service, a.chat), a.tokens)
}

func (r *fleetRouter) load(e *harness.Engine) int { return e.InFlight() }

func (r *fleetRouter) enginesChanged() {}
