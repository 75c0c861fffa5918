package router

import (
	"math"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/ratelimit"
)

// demandHalfLife is the half-life of the count of an instance's requests for a service.
const demandHalfLife = 2 * time.Second

// demandMeter measures the rate of an instance's requests for a service.
type demandMeter struct {
	// count decays with demandHalfLife and was last updated at countedAt.
	count     float64
	countedAt time.Duration
}

func (m *demandMeter) add(now time.Duration) {
	m.count = m.decayed(now) + 1
	m.countedAt = now
}

func (m *demandMeter) decayed(now time.Duration) float64 {
	return m.count * decayFactor(now-m.countedAt, demandHalfLife)
}

// rate returns the requests a second.
func (m *demandMeter) rate(now time.Duration) float64 {
	return m.decayed(now) * math.Ln2 / demandHalfLife.Seconds()
}

// demandByService holds the demand of each instance for each service, as far as it is known.
type demandByService struct {
	instances []fleet.InstanceID
	known     map[fleet.ServiceID]map[fleet.InstanceID]float64
}

func (d demandByService) of(service fleet.ServiceID) []ratelimit.Instance {
	list := make([]ratelimit.Instance, len(d.instances))
	for i, id := range d.instances {
		list[i] = ratelimit.Instance{ID: id, Demand: -1}
		if demand, ok := d.known[service][id]; ok {
			list[i].Demand = demand
		}
	}
	return list
}

// fleetDemand returns the demand of all instances. Instances without a link count too while they are
// registered: they may be cut off from this one but not from the engines.
func (r *Router) fleetDemand() demandByService {
	d := demandByService{known: make(map[fleet.ServiceID]map[fleet.InstanceID]float64)}
	d.instances = append(d.instances, r.cfg.Instance)
	registered := r.registeredInstances()
	d.instances = append(d.instances, registered...)
	isRegistered := make(map[fleet.InstanceID]bool, len(registered))
	for _, id := range registered {
		isRegistered[id] = true
	}
	for id := range r.members.linked {
		if !isRegistered[id] {
			d.instances = append(d.instances, id)
		}
	}
	for service, pool := range r.pools {
		known := map[fleet.InstanceID]float64{r.cfg.Instance: pool.demand.rate(r.now)}
		for id, p := range r.members.linked {
			if p.lastStatusReport != nil && p.live(r.now) {
				if rate, ok := demandOf(p.lastStatusReport, service); ok {
					known[id] = rate
				}
			}
		}
		d.known[service] = known
	}
	return d
}

func demandOf(m *wire.StatusReport, service fleet.ServiceID) (float64, bool) {
	for _, d := range m.Demand {
		if d.Service == service {
			return float64(d.MilliRate) / 1000, true
		}
	}
	return 0, false
}

// reportedDemand returns this instance's demand for services that have an engine with a rate limit.
func (r *Router) reportedDemand() []wire.ServiceDemand {
	services := make(map[fleet.ServiceID]bool)
	for _, id := range r.limits.tracker.Engines() {
		engine, _ := r.registry.Get(id)
		services[engine.Service] = true
	}
	var list []wire.ServiceDemand
	for service := range services {
		if pool := r.pools[service]; pool != nil {
			list = append(list, wire.ServiceDemand{Service: service, MilliRate: int64(1000 * pool.demand.rate(r.now))})
		}
	}
	return list
}
