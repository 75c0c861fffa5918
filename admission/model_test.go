package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/admission"
	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
)

// model passes inputs to a home and keeps its own record of every attempt.
type model struct {
	require.TestingT
	home     *admission.Home
	now      time.Duration
	engines  map[fleet.EngineID]bool // adopted
	state    map[fleet.AttemptID]admission.Kind
	engineOf map[fleet.AttemptID]fleet.EngineID
	ended    map[fleet.AttemptID]bool // released or lost in a crash
}

const modelSlots = 3

func newModel(t require.TestingT) *model {
	m := &model{TestingT: t, home: admission.New(admission.Config{QueueLength: 4}), engines: map[fleet.EngineID]bool{},
		state: map[fleet.AttemptID]admission.Kind{}, engineOf: map[fleet.AttemptID]fleet.EngineID{},
		ended: map[fleet.AttemptID]bool{}}
	for e := range 3 {
		m.adopt(engineName(e), false)
	}
	return m
}

func engineName(i int) fleet.EngineID { return fleet.EngineID(fmt.Sprint("e", i)) }

func (m *model) adopt(e fleet.EngineID, takeover bool) {
	m.home.Adopt(m.now, admission.Engine{ID: e, Pool: "p", Slots: modelSlots, Capacity: 1}, takeover)
	m.engines[e] = true
}

// recordDecision checks a decision against the model: a granted attempt gets no other answer, and
// an ended one is not granted.
func (m *model) recordDecision(d admission.Decision) {
	was := m.state[d.Attempt]
	if d.Kind == admission.Granted {
		require.False(m, m.ended[d.Attempt], "grant after the end")
	}
	if d.Kind != admission.Granted && was == admission.Granted {
		m.Errorf("granted attempt answered %v", d)
	}
	m.state[d.Attempt], m.engineOf[d.Attempt] = d.Kind, d.Engine
}

// checkState records the pending decisions, compares the home's counts with the model and fails if
// a request waits although there is room.
func (m *model) checkState() {
	for _, d := range m.home.Decisions() {
		require.Equal(m, admission.Queued, m.state[d.Attempt])
		m.recordDecision(d)
	}
	running, waiting := map[fleet.EngineID]int{}, map[fleet.EngineID]int{}
	for a, kind := range m.state {
		running[m.engineOf[a]] += map[admission.Kind]int{admission.Granted: 1}[kind]
		waiting[m.engineOf[a]] += map[admission.Kind]int{admission.Queued: 1}[kind]
	}
	for e, adopted := range m.engines {
		s, ok := m.home.Status(e)
		require.Equal(m, adopted, ok)
		if ok {
			require.Equal(m, running[e], s.InFlight)
			require.Equal(m, waiting[e], s.Waiting)
			require.LessOrEqual(m, s.InFlight, modelSlots)
			require.False(m, s.Waiting > 0 && s.InFlight < s.Limit && !s.Takeover, "waits beside a free slot")
		}
	}
}

func (m *model) offer(a fleet.AttemptID, e fleet.EngineID, queue bool) {
	before, _ := m.home.Status(e)
	known := m.state[a] != 0
	d := m.home.Offer(m.now, admission.Request{Attempt: a, Entry: fleet.InstanceID(a[:1]), Engine: e, Class: admission.Class(len(a) % 2),
		Customer: fleet.CustomerID(a[:1]), Arrival: m.now, MayQueue: queue, NoRedirect: len(a)%3 == 0})
	m.recordDecision(d)
	if d.Kind == admission.Granted && !known {
		require.Less(m, before.InFlight, before.Limit)
	}
}

// markEnded removes the matching attempts from the model's running and waiting ones.
func (m *model) markEnded(match func(a fleet.AttemptID) bool) {
	for a, kind := range m.state {
		if match(a) && (kind == admission.Granted || kind == admission.Queued) {
			m.state[a] = admission.Refused
		}
	}
}

// applyInput applies input number kind with attempt a and engine e.
func (m *model) applyInput(kind int, a fleet.AttemptID, e fleet.EngineID, n int) {
	switch kind {
	case 0, 1, 2, 3:
		m.offer(a, e, kind > 0)
	case 4, 5:
		m.home.Release(m.now, a, admission.Done)
		m.state[a], m.ended[a] = admission.Refused, true
	case 6:
		for _, l := range m.home.Crash(m.now, e) {
			require.Equal(m, admission.Granted, m.state[l.Attempt])
			m.state[l.Attempt], m.ended[l.Attempt] = admission.Refused, true
		}
	case 7:
		m.home.InstanceGone(m.now, fleet.InstanceID(a[:1]))
		m.markEnded(func(b fleet.AttemptID) bool { return b[0] == a[0] })
	case 8:
		m.home.Drop(m.now, e)
		m.engines[e] = false
		for _, d := range m.home.Decisions() {
			m.recordDecision(d)
		}
		m.markEnded(func(b fleet.AttemptID) bool { return m.engineOf[b] == e })
	case 9:
		m.adopt(e, true)
	case 10:
		m.home.SetPool(m.now, "p", n, float64(n%4))
	case 11:
		m.home.SetDraining(m.now, e, n%2 == 0)
	default:
		m.now += time.Duration(n) * 37 * time.Millisecond
		m.home.Tick(m.now)
		next, ok := m.home.NextTick()
		require.True(m, !ok || next > m.now)
	}
}

// Guards against a grant above the limit, a grant that is lost or made twice, and a request that
// waits forever, under any order of offers, releases, crashes, drops and departed entries.
func TestAnyOrderOfInputs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			a := fleet.AttemptID(rapid.StringMatching("[abc][0-9]{1,2}").Draw(t, "attempt"))
			m.applyInput(rapid.IntRange(0, 13).Draw(t, "input"), a, engineName(rapid.IntRange(0, 2).Draw(t, "engine")),
				rapid.IntRange(0, 40).Draw(t, "n"))
			m.checkState()
		}
		m.now += 11 * time.Second
		m.home.Tick(m.now)
		m.checkState()
		require.NotContains(t, m.state, admission.Queued)
	})
}

// Guards against a fault that makes the counts wrong only at some step: every input is applied
// twice after every step of a session with a fixed seed.
func TestEveryFaultAtEveryStep(t *testing.T) {
	const steps = 40
	for fault := range 13 {
		for at := range steps {
			m, random := newModel(t), rand.New(rand.NewPCG(3, 5))
			for i := range steps {
				a, e := fleet.AttemptID(fmt.Sprint("abc"[i%3:i%3+1], i/2)), engineName(i%3)
				m.applyInput(random.IntN(6), a, e, i)
				if i == at {
					m.applyInput(fault, a, e, i)
					m.applyInput(fault, a, e, i)
				}
				m.checkState()
			}
			for a := range m.state {
				m.applyInput(4, a, "", 0)
				m.checkState()
			}
		}
	}
}

// Guards against a takeover that grants more than its share of the bound while registrations
// arrive. The former and the new home together would then exceed (1 + share) * bound.
func TestTakeoverStaysWithinItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		home := admission.New(admission.Config{})
		home.Adopt(0, admission.Engine{ID: "e", Pool: "p", Slots: 1000, Capacity: 1}, true)
		others := rapid.IntRange(0, 400).Draw(t, "others")
		home.SetPool(0, "p", others, 9)
		registered, granted := rapid.IntRange(0, 60).Draw(t, "registered"), 0
		for i := range 200 {
			if i < registered {
				home.Register(0, "n", []admission.Registration{{Attempt: fleet.AttemptID(fmt.Sprint("r", i)), Engine: "e"}})
			}
			bound := affinity.Bound(1.25, others+min(i+1, registered)+granted, 10, 1)
			d := home.Offer(0, admission.Request{Attempt: fleet.AttemptID(fmt.Sprint(i)), Engine: "e"})
			if d.Kind == admission.Granted {
				granted++
			}
			require.LessOrEqual(t, granted, max(1, bound/4))
		}
	})
}

// Guards against a cache estimate that removes a chat other than the least recently used one.
func TestCacheEstimateKeepsRecentChats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		home := admission.New(admission.Config{CacheEntries: 4})
		home.Adopt(0, admission.Engine{ID: "e", Pool: "p", Slots: 1, Capacity: 1}, false)
		var want []fleet.ChatKey
		for i, n := range rapid.SliceOf(rapid.IntRange(0, 15)).Draw(t, "chats") {
			chat, event := fleet.ChatKey(n%8), admission.CacheEvent{Seq: uint64(i + 1), At: time.Duration(i + 1)}
			want = slices.DeleteFunc(want, func(c fleet.ChatKey) bool { return c == chat })
			if n < 8 {
				event.Stored = []fleet.ChatKey{chat}
				want = slices.Insert(want, 0, chat)[:min(4, len(want)+1)]
			} else {
				event.Evicted = []fleet.ChatKey{chat}
			}
			home.CacheEvent("e", event)
			require.Equal(t, fmt.Sprint(want), fmt.Sprint(home.ConfirmedChats("e", 9)))
		}
	})
}
