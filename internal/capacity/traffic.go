package capacity

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/samber/oops"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/harness"
)

const (
	// trafficSeed is the seed of the simulated regions and of the light load.
	trafficSeed = 1
	// regionWarmupTime is the time before the first phase, in which the startup grace of membership ends.
	// phaseTime is the length of the idle and busy phases.
	regionWarmupTime = 20 * time.Second
	phaseTime        = 6 * time.Second
	// rampTime is longer than an answer takes, so that the busy phase is in the steady state.
	rampTime = 25 * time.Second
	// answerTokens is the length of an answer at TargetSize: 6.8 million tokens/s divided by 15,000
	// requests/s.
	answerTokens = 453
	readyTimeout = 60 * time.Second
	// requestRatePerInstance is the rate of requests per second at one instance at TargetSize.
	requestRatePerInstance = 30
	// orderShare is the assumed share of calls that must not run twice.
	orderShare = 0.05
)

// simulatedRegion is a region of instances and engines that the harness simulates in virtual time.
type simulatedRegion struct {
	harness   *harness.Harness
	instances int
	random    *rand.Rand
	engines   int
}

// newSimulatedRegion starts n instances with as many engines per instance as TargetSize has, in one
// region, and waits until they are ready and the startup grace of membership has ended.
func newSimulatedRegion(n int) (*simulatedRegion, error) {
	s := &simulatedRegion{harness: harness.New(harness.Config{Seed: trafficSeed}), instances: n, random: rand.New(rand.NewPCG(trafficSeed, 2))}
	s.engines = max(1, n*TargetSize.Engines/TargetSize.Instances)
	files := map[string][]byte{"customers.yaml": harness.Customers(TargetSize.Customers, 10000)}
	files["chat.yaml"] = s.addService("chat", s.engines, false)
	files["orders.yaml"] = s.addService("orders", max(1, n/10), true)
	s.harness.PublishNow(files)
	for i := range n {
		s.harness.AddNode(fleet.InstanceID(fmt.Sprintf("instance-%04d", i)), fleet.DataCentre(fmt.Sprint("dc-", i%3)), "region")
	}
	if !s.harness.RunUntil(readyTimeout, s.ready) {
		return nil, oops.Errorf("%d instances are not ready after %s", n, readyTimeout)
	}
	s.harness.Run(regionWarmupTime)
	return s, nil
}

func (s *simulatedRegion) addService(id fleet.ServiceID, engines int, plain bool) []byte {
	var rows []harness.EngineRow
	for i := range engines {
		engine := fleet.EngineID(fmt.Sprintf("%s-%04d", id, i))
		s.harness.AddEngine(engine, harness.EngineConfig{
			Prefill: 200 * time.Millisecond, CachedPrefill: 40 * time.Millisecond, PerToken: 43 * time.Millisecond, CacheChats: 8192,
		})
		rows = append(rows, harness.EngineRow{ID: engine, DataCentre: fleet.DataCentre(fmt.Sprint("dc-", i%3)), Region: "region", Slots: 512})
	}
	return harness.ServiceFile{ID: id, Plain: plain, Engines: rows}.YAML()
}

func (s *simulatedRegion) ready() bool {
	return !slices.ContainsFunc(s.harness.Nodes, func(n *harness.Node) bool { return !n.Ready })
}

// phaseCost is the measured cost of a phase per instance and second. completed is the total number of
// completed calls.
type phaseCost struct {
	bytes, messages map[string]float64
	calls           map[string]float64
	cpu             float64
	completed       int
}

// phase runs the region for d with Poisson requests at a rate per instance and second, and returns the
// cost.
func (s *simulatedRegion) phase(d time.Duration, rate float64) phaseCost {
	bytes, messages, calls := maps.Clone(s.harness.PeerTraffic.Bytes), maps.Clone(s.harness.PeerTraffic.Messages), maps.Clone(s.harness.Store.Calls)
	first := len(s.harness.Calls)
	start := cpuTime()
	end := s.harness.Now() + d
	for s.harness.Now() < end {
		untilNext := d
		if rate > 0 {
			untilNext = time.Duration(s.random.ExpFloat64() / (rate * float64(s.instances)) * float64(time.Second))
		}
		s.harness.Run(min(untilNext, end-s.harness.Now()))
		if rate > 0 {
			s.submit()
		}
	}
	instanceSeconds := d.Seconds() * float64(s.instances)
	cost := phaseCost{bytes: map[string]float64{}, messages: map[string]float64{}, calls: map[string]float64{}, cpu: (cpuTime() - start).Seconds() / instanceSeconds}
	for kind, n := range s.harness.PeerTraffic.Bytes {
		cost.bytes[kind.String()] = float64(n-bytes[kind]) / instanceSeconds
		cost.messages[kind.String()] = float64(s.harness.PeerTraffic.Messages[kind]-messages[kind]) / instanceSeconds
	}
	for kind, n := range s.harness.Store.Calls {
		cost.calls[kind] = float64(n-calls[kind]) / instanceSeconds
	}
	for _, call := range s.harness.Calls[first:] {
		if call.Result == harness.Complete {
			cost.completed++
		}
	}
	return cost
}

func (s *simulatedRegion) submit() {
	node := s.harness.Nodes[s.random.IntN(s.instances)]
	customer := fleet.CustomerID(fmt.Sprintf("c%d", s.random.IntN(TargetSize.Customers)))
	if s.random.Float64() < orderShare {
		s.harness.Submit(node, harness.OrderCall(customer, "orders", fmt.Sprint(len(s.harness.Calls))), 2)
		return
	}
	s.harness.Submit(node, harness.ChatCall(customer, "chat", fmt.Sprint(s.random.IntN(100*s.instances))), answerTokens)
}

// cpuTime returns the processor time of this process, or 0 if it is not available.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func sum(values map[string]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// Traffic measures the messages, platform calls and processor time of regions of several sizes, idle
// and at TargetSize's rate of requests per instance.
func Traffic(w io.Writer, sizes []int) error {
	// In one region of n instances, each instance has n-1 links. Quantities that depend on the links are
	// extrapolated to the region in which an instance has as many links as at TargetSize.
	sizeByLinks := float64(TargetSize.Links() + 1)
	largestRegion := float64(TargetSize.largestRegion())
	series := map[string]*Series{}
	add := func(name, unit string, target, x, y float64) {
		if series[name] == nil {
			series[name] = &Series{Name: name, XName: "instances of a region", Unit: unit, Target: target}
		}
		series[name].Points = append(series[name].Points, Point{x, y})
	}
	for _, n := range sizes {
		s, err := newSimulatedRegion(n)
		if err != nil {
			return err
		}
		for _, phase := range []struct {
			name string
			rate float64
			time time.Duration
		}{{"idle", 0, phaseTime}, {"ramp", requestRatePerInstance, rampTime}, {"busy", requestRatePerInstance, phaseTime}} {
			got := s.phase(phase.time, phase.rate)
			x := float64(n)
			fmt.Fprintf(w, "%d instances, %d engines, %s: completed %d\n", n, s.engines, phase.name, got.completed)
			for _, kind := range slices.Sorted(maps.Keys(got.bytes)) {
				add(phase.name+" sent "+kind, "B/s per instance", sizeByLinks, x, got.bytes[kind])
			}
			add(phase.name+" sent, all kinds", "B/s per instance", sizeByLinks, x, sum(got.bytes))
			add(phase.name+" messages sent, all kinds", "1/s per instance", sizeByLinks, x, sum(got.messages))
			add(phase.name+" processor time of reducer and harness", "us/s per instance", sizeByLinks, x, got.cpu*1e6)
			for _, kind := range slices.Sorted(maps.Keys(got.calls)) {
				add(phase.name+" platform "+kind, "1/s for a region", largestRegion, x, got.calls[kind]*x)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(series)) {
		fmt.Fprintln(w, series[name])
	}
	return nil
}
