package bench

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/harness"
)

const (
	// outage is the length of faults that last.
	outage = 10 * time.Second
	// affectedBy is the additional queue time from which a request counts as affected by a
	// fault, by comparison with the same session without the fault.
	affectedBy = 250 * time.Millisecond
	// wellAgain is the time without affected requests after which later ones are chance.
	wellAgain = 10 * time.Second
)

type namedFault struct {
	name   string
	inject func(*session)
}

var faultList = []namedFault{
	{"engine crash", func(s *session) { busiest(s).Crash() }},
	{"home killed, back after 5 s", func(s *session) { killHome(s, true) }},
	{"instance killed, gone for good", func(s *session) { killHome(s, false) }},
	{"all instances restarted, 2 s apart", restartAll},
	{"platform down for 10 s", platformDown},
	{"differing lists for 10 s", differingLists},
}

func busiest(s *session) *harness.Engine {
	best := s.engines[0]
	for _, e := range s.engines {
		if e.InFlight() > best.InFlight() {
			best = e
		}
	}
	return best
}

// killHome kills the home of the busiest engine.
func killHome(s *session, back bool) {
	target := busiest(s).ID
	victim := s.Nodes[0]
	for _, row := range s.Nodes[0].Core.Status().Engines {
		if row.ID == target {
			victim = s.Node(row.Home)
		}
	}
	victim.Kill()
	s.Store.SetListed(victim, false, false)
	if back {
		s.After(5*time.Second, func() { startAgain(s, victim) })
	}
}

func startAgain(s *session, n *harness.Node) {
	s.Store.SetListed(n, true, false)
	n.Start()
}

func restartAll(s *session) {
	for i, n := range s.Nodes {
		s.After(time.Duration(i)*2*time.Second, func() {
			n.Kill()
			s.After(time.Second, func() { startAgain(s, n) })
		})
	}
}

func platformDown(s *session) {
	s.Store.SetDown(true)
	s.After(outage, func() { s.Store.SetDown(false) })
}

func differingLists(s *session) {
	a, b := s.Nodes[0], s.Nodes[2]
	s.Store.Hidden = map[fleet.InstanceID]map[fleet.InstanceID]bool{a.ID: {b.ID: true}, b.ID: {a.ID: true}}
	s.Cut(a, b)
	s.After(outage, func() {
		s.Store.Hidden = nil
		s.Heal(a, b)
	})
}

// recovery is the effect of a fault.
type recovery struct {
	name string
	// slow and failed count affected requests of those that arrived after the fault, cut the
	// connections that broke with an instance, and lost other failures of requests in progress.
	slow, failed, cut, lost, requests int
	// last is the time from the fault to the arrival of the last affected request before
	// wellAgain passes without one.
	last time.Duration
	// extra is the share of extra attempts, and above the share of starts above the bound.
	extra, above float64
}

func faultPlans(seed uint64) []plan {
	base := plan{size: kitaminato, policy: policyFleet, seed: seed, load: 0.6, warm: time.Minute, measured: time.Minute}
	plans := []plan{base}
	for _, f := range faultList {
		p := base
		p.fault = f.inject
		plans = append(plans, p)
	}
	return plans
}

// compareTwin compares a session with its twin without a fault.
func compareTwin(name string, twin, r result) recovery {
	c := recovery{name: name, requests: r.requests, above: r.aboveBound}
	runs := 0
	for i, a := range r.trace {
		runs += max(0, r.calls[i].Runs-1)
		c.compare(r.calls[i], twin.calls[i], a.at-r.plan.warm)
	}
	c.extra = float64(runs) / float64(max(1, r.requests))
	return c
}

// compare takes a request that arrived at a time after the fault, negative for one before it.
func (c *recovery) compare(call, same *harness.Call, after time.Duration) {
	failed := call.Result != harness.Complete && same.Result == harness.Complete
	switch {
	case failed && call.Result == harness.ConnectionLost:
		c.cut++
	case failed && after < 0:
		c.lost++
	case failed:
		c.failed++
		c.extend(after)
	case after >= 0 && call.FirstRun-call.Start > same.FirstRun-same.Start+affectedBy:
		c.slow++
		c.extend(after)
	}
}

// extend moves the time of recovery, unless the fleet was well for a time before.
func (c *recovery) extend(after time.Duration) {
	if after-c.last < wellAgain {
		c.last = after
	}
}
