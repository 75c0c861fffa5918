package egress

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// world plays dials of a selector among engines and peers.
type world struct {
	t testing.TB
	s *Selector
	// now is the time.
	now time.Duration
	// reaches tells whether the instance, or a peer, reaches an engine.
	reaches func(p Peer, engine string) bool
	helps   func(p Peer) bool
}

func newWorld(t testing.TB, peers int) *world {
	w := &world{t: t, s: New(rand.New(rand.NewPCG(1, 1)))}
	for i := range peers {
		w.s.PeerUp(Peer{ID: fleet.InstanceID(fmt.Sprintf("i%d", i)), Addr: fmt.Sprintf("addr%d", i)})
	}
	w.reaches = func(Peer, string) bool { return true }
	w.helps = func(Peer) bool { return true }
	return w
}

// dial plays a dial. It returns the step that connected, and how many steps were begun.
func (w *world) dial(engine string) (by Step, steps int, connected bool) {
	defer func() { w.now += 20 * time.Millisecond }()
	for i, step := range w.s.Plan(w.now, engine) {
		r := Connected
		switch {
		case !step.Direct() && !w.helps(step.Peer):
			r = NoHelp
		case !w.reaches(step.Peer, engine):
			r = Unreachable
		}
		w.s.Ended(w.now, engine, step, r)
		if r == Connected {
			return step, i + 1, true
		}
	}
	return Step{}, 0, false
}

func (w *world) dialEngines(n, dials int) (connected int) {
	for i := range dials {
		if _, _, ok := w.dial(fmt.Sprintf("e%d", i%n)); ok {
			connected++
		}
	}
	return connected
}

func onlyPeers(p Peer, _ string) bool { return p != Peer{} }

// Guards against dials that go on to wait for a path that is lost, and against a path that is never used again.
func TestCutOffInstanceDialsThroughPeersUntilItsPathIsBack(t *testing.T) {
	w := newWorld(t, 5)
	require.Equal(t, 8, w.dialEngines(4, 8))
	w.reaches = onlyPeers
	require.Equal(t, 20, w.dialEngines(4, 20))
	require.True(t, w.s.CutOff())
	step, steps, _ := w.dial("e9")
	require.Equal(t, 1, steps)
	require.False(t, step.Direct())
	require.Zero(t, step.After)

	require.True(t, w.s.CheckDue(w.now))
	require.False(t, w.s.CheckDue(w.now))
	w.reaches = func(Peer, string) bool { return true }
	for range checksPassed {
		require.True(t, w.s.CutOff())
		w.now += checkInterval
		require.True(t, w.s.CheckDue(w.now))
		w.s.Ended(w.now, "e1", Step{}, Connected)
	}
	require.False(t, w.s.CutOff())
	step, _, _ = w.dial("e1")
	require.True(t, step.Direct())
}

// Guards against an instance that takes the crash of engines, however many, for the loss of its own path, and against
// engines that are not blamed for it.
func TestEnginesThatCrashTogether(t *testing.T) {
	w := newWorld(t, 5)
	w.reaches = func(_ Peer, engine string) bool { return engine > "e3" }
	w.dialEngines(4, 40)
	require.False(t, w.s.CutOff())
	require.True(t, w.s.Blames(w.now, "e0"))
	_, _, connected := w.dial("e9")
	require.True(t, connected)
	require.False(t, w.s.Doubtful())
}

// Guards against an engine that is blamed for the lost path of an instance, and against one that has crashed meanwhile
// and is not.
func TestCutOffInstanceBlamesOnlyWhatPeersDoNotReach(t *testing.T) {
	w := newWorld(t, 5)
	w.reaches = onlyPeers
	w.dialEngines(4, 20)
	w.helps = func(Peer) bool { return false }
	_, _, connected := w.dial("e1")
	require.False(t, connected)
	require.False(t, w.s.Blames(w.now, "e1"))

	w.helps = func(Peer) bool { return true }
	w.reaches = func(p Peer, engine string) bool { return onlyPeers(p, engine) && engine != "e2" }
	w.dial("e2")
	require.True(t, w.s.Blames(w.now, "e2"))
	require.False(t, w.s.Blames(w.now+verdictMemory, "e2"))
}

// Guards against an instance that waits for one engine's lost path again and again.
func TestEngineThatOnlyPeersReach(t *testing.T) {
	w := newWorld(t, 3)
	w.reaches = func(p Peer, engine string) bool { return p != Peer{} || engine != "e0" }
	step, _, _ := w.dial("e0")
	require.False(t, step.Direct())
	step, steps, _ := w.dial("e0")
	require.False(t, step.Direct())
	require.Equal(t, 1, steps)
	step, _, _ = w.dial("e1")
	require.True(t, step.Direct())
	require.False(t, w.s.CutOff())
	w.now += detourMemory
	require.True(t, w.s.Plan(w.now, "e0")[0].Direct())
}

// Guards against peers that are asked again and again although they are cut off too, and against one peer that gets all
// connections.
func TestConnectionsSpreadOverThePeersThatHelp(t *testing.T) {
	for _, c := range []struct{ peers, helping, used int }{{6, 3, 3}, {82, 5, 4}, {82, 33, 8}, {82, 82, 8}, {489, 196, 8}} {
		t.Run(fmt.Sprintf("%d of %d", c.helping, c.peers), func(t *testing.T) {
			w := newWorld(t, c.peers)
			helping := map[fleet.InstanceID]bool{}
			for _, i := range rand.New(rand.NewPCG(3, 3)).Perm(c.peers)[:c.helping] {
				helping[fleet.InstanceID(fmt.Sprintf("i%d", i))] = true
			}
			w.helps = func(p Peer) bool { return helping[p.ID] }
			w.reaches = onlyPeers
			// Three seconds, with 50 dials in each.
			w.dialEngines(10, 150)
			tries, asked := map[fleet.InstanceID]int{}, 0
			for range 200 {
				step, steps, connected := w.dial("e1")
				require.True(t, connected)
				tries[step.Peer.ID]++
				asked += steps
			}
			require.GreaterOrEqual(t, len(tries), c.used)
			require.Less(t, asked, 300)
			for id, n := range tries {
				require.LessOrEqual(t, n, 100, id)
			}
		})
	}
}

// Guards against an instance whose link loses packets and that counts as cut off all the time.
func TestLossyLinkIsNotCutOff(t *testing.T) {
	w := newWorld(t, 5)
	rng := rand.New(rand.NewPCG(7, 7))
	w.reaches = func(Peer, string) bool { return rng.Float64() >= 0.2 }
	cutOff, dials := 0, 5000
	for i := range dials {
		w.dial(fmt.Sprintf("e%d", i%18))
		if w.s.CheckDue(w.now) {
			w.s.Ended(w.now, "e0", Step{}, Connected)
		}
		if w.s.CutOff() {
			cutOff++
		}
	}
	require.Less(t, cutOff, dials/20)
}

// Guards against an instance without peers that has no path at all.
func TestWithoutPeersThePathIsDirect(t *testing.T) {
	w := newWorld(t, 1)
	w.reaches = onlyPeers
	w.dialEngines(4, 20)
	require.True(t, w.s.CutOff())
	w.s.PeerDown("i0")
	require.Equal(t, []Step{{}}, w.s.Plan(w.now, "e0"))
}

// Guards against plans that are empty, ask a peer twice or are out of order, and against state that grows, whatever
// happens.
func TestPlansAndStateStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(rand.New(rand.NewPCG(1, 2)))
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			id := fleet.InstanceID(fmt.Sprintf("i%d", rapid.IntRange(0, 6).Draw(t, "peer")))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				s.PeerUp(Peer{ID: id, Addr: "a" + string(id)})
			case 1:
				s.PeerDown(id)
			default:
				engine := fmt.Sprintf("e%d", rapid.IntRange(0, 200).Draw(t, "engine"))
				steps := s.Plan(now, engine)
				require.NotEmpty(t, steps)
				require.LessOrEqual(t, len(steps), 1+maxPeers)
				seen := map[Peer]bool{}
				for i, step := range steps {
					require.False(t, seen[step.Peer])
					seen[step.Peer] = true
					require.True(t, i == 0 && step.After == 0 || i > 0 && step.After > steps[i-1].After)
					s.Ended(now, engine, step, Result(rapid.IntRange(int(Connected), int(Declined)).Draw(t, "result")))
				}
			}
			for _, size := range []int{len(s.detoured), len(s.failedAt), len(s.detourUntil), len(s.verdictAt)} {
				require.LessOrEqual(t, size, maxEngines)
			}
		}
	})
}
