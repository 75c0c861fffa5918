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
	// trafficSeed is the seed of the sessions.
	trafficSeed = 1
	// settleTime lets probation end; idle and busy phases follow.
	settleTime = 20 * time.Second
	phaseTime  = 6 * time.Second
	// rampTime is longer than an answer, so that the busy phase is in the steady state.
	rampTime = 25 * time.Second
	// answerTokens is the target's 6.8 million tokens/s over 15,000 requests/s.
	answerTokens = 453
	readyLimit   = 60 * time.Second
	// requestsPerInstance is the target's rate at one instance.
	requestsPerInstance = 30
	// orderShare is the assumed share of calls that must not repeat.
	orderShare = 0.05
)

// session is a region in virtual time.
type session struct {
	h       *harness.Harness
	n       int
	random  *rand.Rand
	engines int
}

// newSession starts n instances with the target's engines per instance in one region.
func newSession(n int) (*session, error) {
	s := &session{h: harness.New(harness.Config{Seed: trafficSeed}), n: n, random: rand.New(rand.NewPCG(trafficSeed, 2))}
	s.engines = max(1, n*Target.Engines/Target.Instances)
	files := map[string][]byte{"customers.yaml": harness.Customers(Target.Customers, 10000)}
	files["chat.yaml"] = s.service("chat", s.engines, false)
	files["orders.yaml"] = s.service("orders", max(1, n/10), true)
	s.h.PublishNow(files)
	for i := range n {
		s.h.AddNode(fleet.InstanceID(fmt.Sprintf("instance-%04d", i)), fleet.DataCentre(fmt.Sprint("dc-", i%3)), "region")
	}
	if !s.h.RunUntil(readyLimit, s.ready) {
		return nil, oops.Errorf("%d instances are not ready after %s", n, readyLimit)
	}
	s.h.Run(settleTime)
	return s, nil
}

func (s *session) service(id fleet.ServiceID, engines int, plain bool) []byte {
	var rows []harness.EngineRow
	for i := range engines {
		engine := fleet.EngineID(fmt.Sprintf("%s-%04d", id, i))
		s.h.AddEngine(engine, harness.EngineConfig{
			Prefill: 200 * time.Millisecond, WarmPrefill: 40 * time.Millisecond, PerToken: 43 * time.Millisecond, CacheChats: 8192,
		})
		rows = append(rows, harness.EngineRow{ID: engine, DataCentre: fleet.DataCentre(fmt.Sprint("dc-", i%3)), Region: "region", Slots: 512})
	}
	return harness.ServiceFile{ID: id, Plain: plain, Engines: rows}.YAML()
}

func (s *session) ready() bool {
	return !slices.ContainsFunc(s.h.Nodes, func(n *harness.Node) bool { return !n.Ready })
}

// sample is what a phase cost, per instance and second.
type sample struct {
	bytes, messages map[string]float64
	calls           map[string]float64
	cpu             float64
	completed       int
}

// phase runs a time with requests at a rate per instance.
func (s *session) phase(d time.Duration, rate float64) sample {
	bytes, messages, calls := maps.Clone(s.h.Bytes.Bytes), maps.Clone(s.h.Bytes.Messages), maps.Clone(s.h.Store.Calls)
	first := len(s.h.Calls)
	start := cpuTime()
	end := s.h.Now() + d
	for s.h.Now() < end {
		gap := d
		if rate > 0 {
			gap = time.Duration(s.random.ExpFloat64() / (rate * float64(s.n)) * float64(time.Second))
		}
		s.h.Run(min(gap, end-s.h.Now()))
		if rate > 0 {
			s.submit()
		}
	}
	per := d.Seconds() * float64(s.n)
	out := sample{bytes: map[string]float64{}, messages: map[string]float64{}, calls: map[string]float64{}, cpu: (cpuTime() - start).Seconds() / per}
	for kind, n := range s.h.Bytes.Bytes {
		out.bytes[kind.String()] = float64(n-bytes[kind]) / per
		out.messages[kind.String()] = float64(s.h.Bytes.Messages[kind]-messages[kind]) / per
	}
	for kind, n := range s.h.Store.Calls {
		out.calls[kind] = float64(n-calls[kind]) / per
	}
	for _, call := range s.h.Calls[first:] {
		if call.Result == harness.Complete {
			out.completed++
		}
	}
	return out
}

func (s *session) submit() {
	node := s.h.Nodes[s.random.IntN(s.n)]
	customer := fleet.CustomerID(fmt.Sprintf("c%d", s.random.IntN(Target.Customers)))
	if s.random.Float64() < orderShare {
		s.h.Submit(node, harness.Order(customer, "orders", fmt.Sprint(len(s.h.Calls))), 2)
		return
	}
	s.h.Submit(node, harness.Chat(customer, "chat", fmt.Sprint(s.random.IntN(100*s.n))), answerTokens)
}

// cpuTime returns the processor time of this process.
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

// Traffic measures the messages and platform calls of regions of growing size, idle and at
// the target's rate per instance.
func Traffic(w io.Writer, sizes []int) error {
	largest := float64(Target.Links() + 1)
	region := float64(Target.largestRegion())
	series := map[string]*Series{}
	add := func(name, unit string, target, x, y float64) {
		if series[name] == nil {
			series[name] = &Series{Name: name, XName: "instances of a region", Unit: unit, Target: target}
		}
		series[name].Points = append(series[name].Points, Point{x, y})
	}
	for _, n := range sizes {
		s, err := newSession(n)
		if err != nil {
			return err
		}
		for _, phase := range []struct {
			name string
			rate float64
			time time.Duration
		}{{"idle", 0, phaseTime}, {"ramp", requestsPerInstance, rampTime}, {"busy", requestsPerInstance, phaseTime}} {
			got := s.phase(phase.time, phase.rate)
			x := float64(n)
			fmt.Fprintf(w, "%d instances, %d engines, %s: completed %d\n", n, s.engines, phase.name, got.completed)
			for _, kind := range slices.Sorted(maps.Keys(got.bytes)) {
				add(phase.name+" sent "+kind, "B/s per instance", largest, x, got.bytes[kind])
			}
			add(phase.name+" sent, all kinds", "B/s per instance", largest, x, sum(got.bytes))
			add(phase.name+" messages sent, all kinds", "1/s per instance", largest, x, sum(got.messages))
			add(phase.name+" processor time of reducer and harness", "us/s per instance", largest, x, got.cpu*1e6)
			for _, kind := range slices.Sorted(maps.Keys(got.calls)) {
				add(phase.name+" platform "+kind, "1/s for a region", region, x, got.calls[kind]*x)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(series)) {
		fmt.Fprintln(w, series[name])
	}
	return nil
}
