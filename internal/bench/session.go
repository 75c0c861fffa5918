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
	serviceID = fleet.ServiceID("chat")
	region    = fleet.Region("region")
	// loadBound is the load bound c of the design: an engine may have c times the mean load.
	loadBound = 1.25
	// startupTime is the time given to instances to start and to become homes of their engines.
	startupTime = 16 * time.Second
)

// deployment holds the sizes of a fleet: numbers of instances, engines, customers and data centres.
type deployment struct {
	name                                       string
	instances, engines, customers, dataCentres int
	// mixedCapacity gives every second engine twice the capacity.
	mixedCapacity bool
}

func (d deployment) capacity(engineIndex int) int {
	if d.mixedCapacity && engineIndex%2 == 0 {
		return 2
	}
	return 1
}

func (d deployment) slots() int {
	sum := 0
	for i := range d.engines {
		sum += slotsPerCapacity * d.capacity(i)
	}
	return sum
}

// plan holds the parameters of one session.
type plan struct {
	deployment deployment
	policy     string
	seed       uint64
	// load is the desired share of all slots in use.
	load float64
	// warmUp is the time before the measurement, measureTime the duration of the measurement.
	warmUp, measureTime time.Duration
	churn               bool
	surge               *surge
	// fault, if set, is injected at the end of the warm-up.
	fault func(*session)
}

// router is a policy that places requests on engines.
type router interface {
	submit(a arrival) *harness.Call
	// load returns the number of requests that the policy has placed on an engine and that
	// have not ended.
	load(e *harness.Engine) int
	// enginesChanged is called after a change of the list of engines.
	enginesChanged()
}

// session is the running session of a plan.
type session struct {
	*harness.Harness
	plan       plan
	router     router
	engineRows []harness.EngineRow
	engines    []*harness.Engine
	byID       map[fleet.EngineID]harness.EngineRow
	rng        *rand.Rand
	traceStart time.Duration
	trace      []arrival
	calls      []*harness.Call
	meter      meter
}

// runSession runs the session of a plan and returns the measured figures.
func runSession(p plan) result {
	s := &session{
		Harness: harness.New(harness.Config{Seed: p.seed, Core: core.Config{}}),
		plan:    p,
		byID:    make(map[fleet.EngineID]harness.EngineRow),
		rng:     rand.New(rand.NewPCG(p.seed, 77)),
	}
	for i := range p.deployment.engines {
		s.addEngine(i, 0)
	}
	s.router = newRouter(s)
	s.publish()
	s.Run(startupTime)
	s.traceStart = s.Now()
	end := p.warmUp + p.measureTime
	s.trace = p.trace(end)
	s.calls = make([]*harness.Call, len(s.trace))
	s.scheduleArrival(0)
	s.scheduleMeasurement()
	if p.churn {
		s.churn(0, 1)
	}
	if p.fault != nil {
		s.After(p.warmUp, func() { p.fault(s) })
	}
	s.Run(end)
	s.meter.stop(s)
	s.Run(40 * time.Second)
	return s.result()
}

// trace returns a trace whose work, without the surge, fills the desired share of the slots in
// the measured time. The rate computed from the mean service time gives too little work, since
// long pauses extend beyond the end. So the work of a first trace at that rate gives the factor
// that corrects the rate.
func (p plan) trace(end time.Duration) []arrival {
	c := traceConfig{seed: p.seed, customers: p.deployment.customers, end: end}
	slots := float64(p.deployment.slots())
	c.rate = p.load * slots / meanServiceTime().Seconds()
	work := 0.0
	for _, a := range newTrace(c) {
		if a.at >= p.warmUp {
			work += a.serviceTime().Seconds()
		}
	}
	c.rate *= p.load * slots * p.measureTime.Seconds() / max(work, 1)
	c.surge = p.surge
	return newTrace(c)
}

// addEngine adds the engine with number i, or replaces it by one with an empty cache. Each
// generation of an engine has its own id.
func (s *session) addEngine(i, generation int) {
	id := fleet.EngineID(fmt.Sprintf("engine-%d-%d", i, generation))
	capacity := s.plan.deployment.capacity(i)
	row := harness.EngineRow{
		ID: id, Region: region, Slots: slotsPerCapacity * capacity, Capacity: float64(capacity),
		DataCentre: s.dataCentre(i),
	}
	e := s.AddEngine(id, harness.EngineConfig{
		Prefill: prefill, CachedPrefill: cachedPrefill, PerToken: perToken,
		CacheChats: cacheChats * capacity, EventLag: time.Second, DropEvents: 50,
	})
	s.byID[id] = row
	if i == len(s.engineRows) {
		s.engineRows, s.engines = append(s.engineRows, row), append(s.engines, e)
		return
	}
	s.engineRows[i], s.engines[i] = row, e
}

func (s *session) dataCentre(i int) fleet.DataCentre {
	return fleet.DataCentre(fmt.Sprintf("dc-%d", i%s.plan.deployment.dataCentres))
}

func (s *session) publish() {
	s.PublishNow(map[string][]byte{
		"team/chat.yaml":      harness.ServiceFile{ID: serviceID, Engines: s.engineRows}.YAML(),
		"team/customers.yaml": harness.Customers(s.plan.deployment.customers, 100_000),
	})
	s.router.enginesChanged()
}

// churn replaces the engines one after another by engines with empty caches, at a rate of one
// tenth of the engines per minute.
func (s *session) churn(next, generation int) {
	interval := time.Minute * 10 / time.Duration(s.plan.deployment.engines)
	s.After(interval, func() {
		s.addEngine(next, generation)
		s.publish()
		if next++; next == len(s.engineRows) {
			next, generation = 0, generation+1
		}
		s.churn(next, generation)
	})
}

// scheduleArrival submits request i of the trace at its time, and then the requests after it.
func (s *session) scheduleArrival(i int) {
	if i == len(s.trace) {
		return
	}
	s.After(s.traceStart+s.trace[i].at-s.Now(), func() {
		s.meter.cachePlaces = append(s.meter.cachePlaces, s.cachePlace(s.trace[i]))
		s.calls[i] = s.router.submit(s.trace[i])
		s.scheduleArrival(i + 1)
	})
}

// fleetRouter sends requests to ready instances, as a load balancer would.
type fleetRouter struct{ s *session }

func newFleetRouter(s *session) router {
	for i := range s.plan.deployment.instances {
		s.AddNode(fleet.InstanceID(fmt.Sprintf("instance-%d", i)), s.dataCentre(i), region)
	}
	return &fleetRouter{s}
}

func (r *fleetRouter) submit(a arrival) *harness.Call {
	nodes := r.s.Nodes
	node := nodes[a.entryIndex%len(nodes)]
	for k := range nodes {
		if n := nodes[(a.entryIndex+k)%len(nodes)]; n.Up && n.Ready {
			node = n
			break
		}
	}
	return r.s.Submit(node, harness.ChatCall(a.customer, serviceID, a.chat), a.tokens)
}

func (r *fleetRouter) load(e *harness.Engine) int { return e.InFlight() }

func (r *fleetRouter) enginesChanged() {}
