// Package experiment compares settings of the gateway's decisions under named load patterns. It drives several reducers
// of package router, with messages between them, against a model of model engines in virtual time. Callers retry as the
// users' callers do. The same seed gives the same result.
package experiment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/router"
	"github.com/bilberrywell/bilberrywell/internal/virtualtime"
	"github.com/bilberrywell/bilberrywell/registry"
	"github.com/bilberrywell/bilberrywell/replica"
	"github.com/bilberrywell/bilberrywell/routing"
)

const (
	// startTime is the time from the start of the instances to the first request.
	startTime = 3 * time.Second
	// tickInterval is that of package gateway.
	tickInterval = 50 * time.Millisecond
	// readInterval is the time between two reads of the store by an instance that watches it.
	readInterval = 500 * time.Millisecond
	// hopTime is the time that a message takes between two instances, or between an instance and an engine or caller.
	hopTime = time.Millisecond

	service      = fleet.ServiceID("s")
	dataCentre   = fleet.DataCentre("dc")
	configKey    = "config"
	enginePrefix = "engines/"
)

// simulation is one run of a pattern with a setting.
type simulation struct {
	virtualtime.Clock
	pattern   pattern
	instances map[fleet.InstanceID]*instance
	ids       []fleet.InstanceID
	engines   map[fleet.EngineID]*engine
	store     []replica.Fact
	trace     []*request
	// attempts, rejections and callerRetries count what happens besides the results of requests.
	attempts, rejections, callerRetries int
}

// instance is a router with what package gateway holds for it.
type instance struct {
	sim      *simulation
	id       fleet.InstanceID
	router   *router.Router
	watching bool
	lastRead time.Duration
	lastCall router.CallID
	calls    map[router.CallID]*request
	// attempts holds the attempts under way of each request, the older one first.
	attempts map[router.CallID][]*attempt
}

// run plays a pattern with a setting, until every request has a result.
func run(p pattern, s setting, seed uint64) *simulation {
	sim := &simulation{pattern: p, instances: make(map[fleet.InstanceID]*instance), engines: make(map[fleet.EngineID]*engine)}
	sim.put(configKey)
	for i := range engineCount {
		sim.addEngine(i, seed)
	}
	for i := range instanceCount {
		sim.ids = append(sim.ids, fleet.InstanceID(fmt.Sprintf("i%03d", i)))
		sim.put(router.InstancePrefix + string(sim.ids[i]))
	}
	for i := range sim.ids {
		sim.addInstance(i, s, seed)
	}
	sim.Run(startTime)
	sim.trace = newTrace(seed, p.streams, p.duration)
	end := sim.Now() + p.duration
	for _, r := range sim.trace {
		end = max(end, r.deadline())
		sim.After(r.arrival-sim.Now(), func() { sim.send(r) })
	}
	sim.Run(end + time.Second - sim.Now())
	return sim
}

// runSeeds plays a pattern with a setting for all seeds, and returns the requests and counts of all runs together.
func runSeeds(p pattern, s setting, o Options) *simulation {
	sum := &simulation{pattern: p}
	for i := range o.Seeds {
		sim := run(p, s, o.Seed+i)
		sum.trace = append(sum.trace, sim.trace...)
		sum.attempts += sim.attempts
		sum.rejections += sim.rejections
		sum.callerRetries += sim.callerRetries
	}
	return sum
}

func (sim *simulation) put(key string) {
	sim.store = append(sim.store, replica.Fact{Key: key, Revision: uint64(len(sim.store) + 1), Value: []byte("{}")})
}

func (sim *simulation) addEngine(i int, seed uint64) {
	id := fleet.EngineID(fmt.Sprintf("e%03d", i))
	sim.put(enginePrefix + string(id))
	e := newEngine(&sim.Clock, engineLimits, rand.New(rand.NewPCG(seed, fleet.Hash(string(id)))))
	sim.engines[id] = e
	for t := time.Duration(0); sim.pattern.change != nil && t <= sim.pattern.duration; t += changeInterval {
		sim.After(startTime+t, func() { sim.pattern.change(e, i, t) })
	}
}

// addInstance starts an instance and opens its ends of the links to all others.
func (sim *simulation) addInstance(i int, s setting, seed uint64) {
	cfg := baseConfig()
	s.change(&cfg)
	cfg.Instance, cfg.Incarnation, cfg.DataCentre, cfg.StoreDecoder = sim.ids[i], 1, dataCentre, decoder{sim.pattern}
	cfg.Seed = fleet.Hash("instance", fmt.Sprint(seed), fmt.Sprint(i))
	in := &instance{sim: sim, id: cfg.Instance, router: router.New(cfg), calls: make(map[router.CallID]*request), attempts: make(map[router.CallID][]*attempt)}
	sim.instances[in.id] = in
	in.listKeys()
	for _, peer := range sim.ids {
		if peer != in.id {
			in.later(0, router.PeerUp{Instance: peer, Incarnation: 1, Addr: string(peer), DataCentre: dataCentre})
		}
	}
	sim.After(time.Duration(i)*tickInterval/instanceCount, in.tick)
}

// later lets an event reach the instance after a time. Events are never handled within the handling of another one,
// since the effects of a step are valid only until the next step.
func (in *instance) later(d time.Duration, ev router.Event) {
	in.sim.After(d, func() { in.step(ev) })
}

func (in *instance) listKeys() {
	in.later(0, router.KeysListed{Facts: slices.Clone(in.sim.store), AtRevision: uint64(len(in.sim.store))})
}

func (in *instance) tick() {
	in.sim.After(tickInterval, in.tick)
	if in.watching && in.sim.Now()-in.lastRead >= readInterval {
		in.lastRead = in.sim.Now()
		in.step(router.KeysChanged{AtRevision: uint64(len(in.sim.store))})
	}
	in.step(router.Tick{})
}

// step handles an event and executes its effects.
func (in *instance) step(ev router.Event) {
	for _, e := range in.router.Step(in.sim.Now(), ev) {
		switch e := e.(type) {
		case router.SendMessage:
			in.sim.instances[e.To].later(hopTime, router.PeerMessage{From: in.id, Incarnation: 1, Message: e.Message})
		case router.SendToMany:
			for _, to := range e.To {
				in.sim.instances[to].later(hopTime, router.PeerMessage{From: in.id, Incarnation: 1, Message: e.Message})
			}
		case router.WatchStore:
			in.watching = e.On
		case router.ListKeys:
			in.listKeys()
		case router.CheckEngine:
			in.later(2*hopTime, router.EngineChecked{Engine: e.Engine, Reachable: true})
		case router.Send:
			in.startAttempt(e)
		case router.EndStalledAttempt:
			in.endStalled(e)
		case router.DeliverFailure:
			in.finish(e.Call, failed)
		case router.Refuse:
			in.refused(e)
		}
	}
}

// decoder is the router's view of the store. The values of the keys are not read.
type decoder struct{ pattern pattern }

func (decoder) Prefixes() (configuration, registrations string) { return configKey, enginePrefix }

func (decoder) EvacuationPrefix() string { return "evacuate/" }

func (decoder) Evacuation(string, []byte) (fleet.DataCentre, error) {
	return "", errors.New("no pattern evacuates a data centre")
}

func (decoder) Engine(key string, _ []byte) (registry.Engine, error) {
	id := strings.TrimPrefix(key, enginePrefix)
	return registry.Engine{ID: fleet.EngineID(id), Service: service, Addr: id, DataCentre: dataCentre, Slots: engineLimits.slots}, nil
}

func (d decoder) Configuration([]byte) (routing.Config, error) {
	c := routing.Config{Version: 1, Services: []routing.Service{{ID: service, CacheTokens: engineLimits.cacheTokens}}}
	for _, s := range d.pattern.streams {
		c.Routes = append(c.Routes, routing.Route{
			Name: s.kind.name, Host: "h", Prefix: "/" + s.kind.name + "/", Kind: s.kind.route, Timeout: s.kind.deadline,
			TargetLatency: s.kind.target, Priority: s.kind.urgency, Shares: []routing.Share{{Service: service, Weight: 1}},
			MaxAttempts: 2, Affinity: s.kind.prompts > 0, Resumable: s.kind.route == routing.Streaming,
		})
		for i := range s.customers {
			id := customerID(s.group, i)
			c.Customers = append(c.Customers, routing.Customer{ID: id, Keys: []string{string(id)}})
		}
	}
	return c, nil
}
