package faultmatrix

import (
	"fmt"
	"sort"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/harness"
)

// matrixSeed is the seed of the session of every cell.
const matrixSeed = 20260301

// TestMatrix injects each fault at each step of each operation, under load. It guards against a
// fault that breaks an invariant at some step, or after which the fleet does not serve again.
func TestMatrix(t *testing.T) {
	var sum summary
	for _, f := range allFaults {
		for _, st := range allSteps {
			sum.runCellTest(t, f.name+"/"+st.operation+" "+st.name, func() []string { return runCell(f, nil, st) })
		}
	}
	sum.print(t, "fault matrix")
}

// summary counts the cells of a matrix.
type summary struct {
	cells, failing atomic.Int32
}

// runCellTest runs one cell as a subtest in parallel with others; cells share no state.
func (s *summary) runCellTest(t *testing.T, name string, run func() []string) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		s.cells.Add(1)
		if found := run(); len(found) > 0 {
			s.failing.Add(1)
			t.Errorf("%d violations, first: %s", len(found), found[0])
		}
	})
}

// print logs the counts when all cells have ended.
func (s *summary) print(t *testing.T, name string) {
	t.Cleanup(func() {
		t.Logf("%s: %d cells run, %d cells failing, seed %d", name, s.cells.Load(), s.failing.Load(), matrixSeed)
	})
}

// faultPairs lists pairs of faults, by name, that TestPairs injects together.
var faultPairs = [][2]string{
	{"key-value service down", "instance killed"},
	{"key-value service down", "home instance killed"},
	{"answer lost after the write", "instance killed"},
	{"answer lost after the write", "lease lapsed under a paused holder"},
	{"differing live lists", "engine crash"},
	{"differing live lists", "customer surge"},
	{"late or crossed answer", "home instance killed"},
	{"key-value service slow", "conflicting publishes"},
	{"poison request", "instance killed"},
	{"silent connection", "key-value service down"},
}

// TestPairs guards against faults that are tolerated alone and break an invariant together.
func TestPairs(t *testing.T) {
	byName := make(map[string]fault)
	for _, f := range allFaults {
		byName[f.name] = f
	}
	var sum summary
	for _, pair := range faultPairs {
		second := byName[pair[1]]
		for _, st := range allSteps {
			name := fmt.Sprintf("%s and %s/%s %s", pair[0], pair[1], st.operation, st.name)
			sum.runCellTest(t, name, func() []string { return runCell(byName[pair[0]], &second, st) })
		}
	}
	sum.print(t, "fault pairs")
}

// runCell injects a fault, and a second one if it is not nil, at a step, and returns the
// violations found.
func runCell(f fault, second *fault, st step) []string {
	s := newSession(matrixSeed)
	s.submitBackgroundLoad(12 * time.Second)
	s.Run(2 * time.Second)
	st.run(s, func() {
		f.inject(s)
		if second != nil {
			second.inject(s)
		}
	})
	latePublishes := s.checkPublish()
	s.Run(recoveryTime)
	found := append(s.Violations(), latePublishes...)
	found = append(found, s.checkOrders()...)
	found = append(found, s.checkEngineOrders()...)
	found = append(found, s.checkStop()...)
	found = append(found, s.checkBound()...)
	found = append(found, s.checkPoison()...)
	found = append(found, s.checkRecovery()...)
	found = append(found, s.checkLeaks()...)
	sort.Strings(found)
	return found
}

// checkPublish checks that an accepted publish is in force harness.ConfigDeadline after its
// acceptance on every instance that has been running for longer than that.
func (s *session) checkPublish() []string {
	if s.publish == nil {
		return nil
	}
	s.RunUntil(recoveryTime, func() bool { return s.publish.Done })
	if !s.publish.Done || s.publish.Err != nil {
		return nil
	}
	version := s.publish.Accepted.Version
	s.Run(s.publish.AcceptedAt + harness.ConfigDeadline - s.Now())
	var found []string
	for _, n := range s.Nodes {
		if n.Running() && n.RunningFor() > harness.ConfigDeadline && n.Version < version {
			found = append(found, fmt.Sprintf("I7: %s has version %d, %v after version %d was accepted", n.ID, n.Version, harness.ConfigDeadline, version))
		}
	}
	return found
}

// checkOrders checks that an order (a non-idempotent call) that was confirmed to its caller took
// effect exactly once.
func (s *session) checkOrders() []string {
	var found []string
	for _, c := range s.Calls {
		confirmed := c.Result == harness.Complete || c.Result == harness.Replayed
		if c.Key != "" && confirmed && s.SideEffectsOf(c.Key) != 1 {
			found = append(found, fmt.Sprintf("I4: key %s was confirmed to its caller and took effect %d times", c.Key, s.SideEffectsOf(c.Key)))
		}
	}
	return found
}

// checkEngineOrders checks that the fencing numbers of the engine orders (core.SendOrder) that
// an engine accepts never decrease, and that all chat engines end up on the published version.
func (s *session) checkEngineOrders() []string {
	var found []string
	for _, e := range s.chats {
		for i := 1; i < len(e.Orders); i++ {
			if e.Orders[i].Fence < e.Orders[i-1].Fence {
				found = append(found, fmt.Sprintf("engine %s took an order with fence %d after %d", e.ID, e.Orders[i].Fence, e.Orders[i-1].Fence))
			}
		}
	}
	if !s.changesEngines || !s.publish.Done || s.publish.Err != nil {
		return found
	}
	s.RunUntil(engineOrderTimeout, s.allOnPublishedVersion)
	if !s.allOnPublishedVersion() {
		found = append(found, "some engines never got the published version")
	}
	return found
}

// engineOrderTimeout bounds the time to change four engines one after another: a lease of ten
// seconds may have to expire first, and each change waits for a report up to three seconds old.
const engineOrderTimeout = time.Minute

// allOnPublishedVersion reports whether the last order that each chat engine accepted is for
// version v2, which engineOrderAt publishes.
func (s *session) allOnPublishedVersion() bool {
	for _, e := range s.chats {
		if len(e.Orders) == 0 || e.Orders[len(e.Orders)-1].Version != "v2" {
			return false
		}
	}
	return true
}

// checkStop checks that an engine gets no new work from harness.StopDeadline after the start of
// its planned stop until the stop ends. Instances learn of the stop within harness.ConfigDeadline
// of its publish.
func (s *session) checkStop() []string {
	if s.engineStop == nil {
		return nil
	}
	var found []string
	for _, start := range s.engineStop.engine.RunStarts {
		if start > s.engineStop.at+harness.StopDeadline && start < s.engineStop.until {
			found = append(found, fmt.Sprintf("I5: engine %s got work %v after its stop", s.engineStop.engine.ID, start-s.engineStop.at))
		}
	}
	return found
}

// checkBound checks that no run started on a chat engine above its load bound.
func (s *session) checkBound() []string {
	if s.boundCheck.Violations == 0 {
		return nil
	}
	return []string{fmt.Sprintf("I1: %d runs started above the bound, worst ratio %.2f: %v", s.boundCheck.Violations, s.boundCheck.WorstRatio, s.boundCheck.Details[0])}
}

// checkPoison checks that a poison request crashes at most two engines.
func (s *session) checkPoison() []string {
	injected, crashes := false, 0
	for _, e := range s.chats {
		injected = injected || len(e.CrashOn) > 0
		crashes += e.Crashes
	}
	if injected && crashes > 2 {
		return []string{fmt.Sprintf("poison request crashed %d engines", crashes)}
	}
	return nil
}

// checkRecovery checks that chats and orders complete through every instance once the fault
// is over.
func (s *session) checkRecovery() []string {
	first := len(s.Calls)
	for i := range 12 {
		n := s.Nodes[i%len(s.Nodes)]
		s.Submit(n, harness.ChatCall("c0", "chat", fmt.Sprint("after-", i)), chatTokens)
		s.submitOrder(n)
		s.Run(100 * time.Millisecond)
	}
	s.Run(10 * time.Second)
	var found []string
	for _, c := range s.Calls[first:] {
		if c.Result != harness.Complete {
			found = append(found, fmt.Sprintf("after the fault a call ended with %q %s", c.Result, c.Code))
		}
	}
	return found
}

// checkLeaks checks that no home counts a running or queued attempt after every call has ended.
func (s *session) checkLeaks() []string {
	var found []string
	for _, n := range s.Nodes {
		for _, e := range n.Core.Status().Engines {
			if n.Running() && e.Home == n.ID && e.InFlight+e.Queued > 0 {
				found = append(found, fmt.Sprintf("home %s counts %d running and %d waiting attempts on %s after all ended", n.ID, e.InFlight, e.Queued, e.ID))
			}
		}
	}
	return found
}

// TestPlannedStopIsGraceful guards against a planned stop of an instance that makes requests
// in flight fail.
func TestPlannedStopIsGraceful(t *testing.T) {
	for _, st := range allSteps {
		if st.operation != "chat" && st.operation != "order" {
			continue
		}
		t.Run(st.operation+" "+st.name, func(t *testing.T) {
			s := newSession(matrixSeed)
			s.submitBackgroundLoad(10 * time.Second)
			s.Run(2 * time.Second)
			st.run(s, func() { instanceStopped(s) })
			s.Run(recoveryTime)
			for i, c := range s.Calls {
				require.Contains(t, []harness.Result{harness.Complete, harness.Replayed}, c.Result, "call %d: %s", i, c.Code)
			}
		})
	}
}
