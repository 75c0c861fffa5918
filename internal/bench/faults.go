package bench

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/harness"
)

const (
	// outageDuration is the duration of platformDown and differingLists.
	outageDuration = 10 * time.Second
	// affectedQueueDelay is the additional queue time, compared with the same session without the
	// fault, above which a request counts as affected by the fault.
	affectedQueueDelay = 250 * time.Millisecond
	// recoveredAfter is the time without affected requests after which the fleet counts as
	// recovered. Affected requests after that are attributed to chance, not to the fault.
	recoveredAfter = 10 * time.Second
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

// killHome kills the home of the busiest engine. If comesBack is set, it restarts after 5 s.
func killHome(s *session, comesBack bool) {
	target := busiest(s).ID
	victim := s.Nodes[0]
	for _, row := range s.Nodes[0].Core.Status().Engines {
		if row.ID == target {
			victim = s.Node(row.Home)
		}
	}
	victim.Kill()
	s.Store.SetListed(victim, false, false)
	if comesBack {
		s.After(5*time.Second, func() { restart(s, victim) })
	}
}

func restart(s *session, n *harness.Node) {
	s.Store.SetListed(n, true, false)
	n.Start()
}

// restartAll restarts the instances one after another, 2 s apart. Each is down for 1 s.
func restartAll(s *session) {
	for i, n := range s.Nodes {
		s.After(time.Duration(i)*2*time.Second, func() {
			n.Kill()
			s.After(time.Second, func() { restart(s, n) })
		})
	}
}

func platformDown(s *session) {
	s.Store.SetDown(true)
	s.After(outageDuration, func() { s.Store.SetDown(false) })
}

// differingLists hides two instances from each other's instance list and cuts the link between
// them.
func differingLists(s *session) {
	a, b := s.Nodes[0], s.Nodes[2]
	s.Store.Hidden = map[fleet.InstanceID]map[fleet.InstanceID]bool{a.ID: {b.ID: true}, b.ID: {a.ID: true}}
	s.Cut(a, b)
	s.After(outageDuration, func() {
		s.Store.Hidden = nil
		s.Heal(a, b)
	})
}

// recovery holds the measured effects of a fault.
type recovery struct {
	name string
	// slow and failed count the affected requests among those that arrived after the fault.
	// connectionsCut counts the requests whose connection broke with their instance, and
	// lostInProgress the other failures of requests that arrived before the fault.
	slow, failed, connectionsCut, lostInProgress, requests int
	// lastAffected is the time from the fault to the arrival of the last affected request before
	// a period of recoveredAfter without one.
	lastAffected time.Duration
	// extraAttempts is the number of extra attempts per request, and shareAboveBound the share of
	// run starts above the load bound.
	extraAttempts, shareAboveBound float64
}

// faultPlans returns a plan without a fault, followed by one for each fault.
func faultPlans(seed uint64) []plan {
	base := plan{deployment: kitaminato, policy: policyFleet, seed: seed, load: 0.6, warmUp: time.Minute, measureTime: time.Minute}
	plans := []plan{base}
	for _, f := range faultList {
		p := base
		p.fault = f.inject
		plans = append(plans, p)
	}
	return plans
}

// compareWithReference compares a session with a fault to the reference, which is the same
// session without the fault.
func compareWithReference(name string, reference, r result) recovery {
	c := recovery{name: name, requests: r.requests, shareAboveBound: r.shareAboveBound}
	extraRuns := 0
	for i, a := range r.trace {
		extraRuns += max(0, r.calls[i].Runs-1)
		c.addRequest(r.calls[i], reference.calls[i], a.at-r.plan.warmUp)
	}
	c.extraAttempts = float64(extraRuns) / float64(max(1, r.requests))
	return c
}

// addRequest compares a request with the same request of the reference session. after is the
// time from the fault to its arrival, negative if it arrived before the fault.
func (c *recovery) addRequest(call, reference *harness.Call, after time.Duration) {
	failed := call.Result != harness.Complete && reference.Result == harness.Complete
	switch {
	case failed && call.Result == harness.ConnectionLost:
		c.connectionsCut++
	case failed && after < 0:
		c.lostInProgress++
	case failed:
		c.failed++
		c.extendRecovery(after)
	case after >= 0 && call.FirstRun-call.Start > reference.FirstRun-reference.Start+affectedQueueDelay:
		c.slow++
		c.extendRecovery(after)
	}
}

// extendRecovery moves lastAffected to an affected request, unless the fleet had recovered
// before: then at least recoveredAfter has passed without an affected request.
func (c *recovery) extendRecovery(after time.Duration) {
	if after-c.lastAffected < recoveredAfter {
		c.lastAffected = after
	}
}
