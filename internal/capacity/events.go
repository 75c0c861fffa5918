package capacity

import (
	"fmt"
	"io"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/revision"
)

// eventTime is the time for which each kind of event is repeated.
const eventTime = 100 * time.Millisecond

// eventKind is a kind of event of one reducer with its rate at a size.
type eventKind struct {
	name string
	// perSecond is the rate at one instance.
	perSecond func(s *solo) float64
	act       func(s *solo)
}

var eventKinds = []eventKind{
	{"10 ticks", constant(10), (*solo).tick},
	{"stop check", constant(4), (*solo).stopCheck},
	{"heartbeat received", heartbeatRate, (*solo).oneBeat},
	{"heartbeats of all peers, and own sent", sendRate, (*solo).sendBeats},
	{"instance list", constant(1 / 1.5), (*solo).list},
	{"request, entry and home here", requestRate, (*solo).request},
	{"member gone and back", memberRate, (*solo).memberChange},
	{"configuration change", changeRate, (*solo).change},
	{"status for an operator", constant(0), (*solo).status},
}

func constant(rate float64) func(*solo) float64 {
	return func(*solo) float64 { return rate }
}

// heartbeatRate is the rate of received heartbeats when every peer sends as often as the
// control budget allows, which it does under load.
func heartbeatRate(s *solo) float64 { return float64(len(s.linked)) * sendRate(s) }

// heartbeatBytes and heartbeatBudget are those of internal/core: a third of 12,288 bytes/s.
const (
	heartbeatBytes  = 48
	heartbeatBudget = 4096
)

func sendRate(s *solo) float64 {
	return min(20, heartbeatBudget/float64(len(s.linked)*heartbeatBytes))
}

func requestRate(s *solo) float64 { return s.size.RequestsPerSecond / float64(s.size.Instances) }

// memberRate counts 305 departures a day, each with a return.
func memberRate(*solo) float64 { return 305.0 / 86400 }

func changeRate(s *solo) float64 { return s.size.ChangesPerDay / 86400 }

// ticksPerCall is the number of ticks that a call of tick stands for: a round of the timers
// that run less often than each tick.
const ticksPerCall = 10

// tick lets 100 ms pass in ticks of 10 ms.
func (s *solo) tick() {
	for range ticksPerCall {
		s.now += 10 * time.Millisecond
		s.step(core.Tick{})
	}
}

// stopCheckInterval is that of internal/core.
const stopCheckInterval = 250 * time.Millisecond

// stopCheck lets the interval of the stop check pass. The cost of a tick is part of it.
func (s *solo) stopCheck() {
	s.now += stopCheckInterval
	s.step(core.Tick{})
}

func (s *solo) oneBeat() { s.beat(int(s.beats), false) }

// sendBeats lets the longest heartbeat interval pass, with a heartbeat of each peer.
func (s *solo) sendBeats() {
	s.sent = s.sent[:0]
	s.now += 1700 * time.Millisecond
	s.beatAll()
	s.step(core.Tick{})
}

func (s *solo) list() { s.step(core.InstanceList{Rows: s.rows}) }

// request runs a request whose home is this instance, and one whose home is a peer as far as
// the entry's part goes: the peer grants and takes the release.
func (s *solo) request() {
	s.sent = s.sent[:0]
	s.last++
	s.now += time.Duration(float64(time.Second) / requestRate(s))
	s.step(core.RequestArrived{Request: s.last, Call: core.Call{
		Customer: fleet.CustomerID(fmt.Sprintf("c%d", int(s.last)%s.size.Customers)), Service: "model-0",
		Chat: fleet.ChatKey(fleet.Hash("chat", fmt.Sprint(s.last%100_000))), Fingerprint: fleet.Fingerprint(s.last),
	}})
	started, ok := s.awaitStart()
	if !ok {
		panic("capacity: a request was not started")
	}
	delete(s.started, s.last)
	s.step(core.FirstByte{Request: s.last, Attempt: started.Attempt})
	s.step(core.AttemptEnded{Request: s.last, Attempt: started.Attempt, Result: wire.ResultComplete})
	s.homePart()
}

// rateTicks bounds the wait for rate tokens: an owner of a customer starts with an empty account.
const rateTicks = 100

// awaitStart answers the messages that a request needs until its attempt starts.
func (s *solo) awaitStart() (core.StartAttempt, bool) {
	answered := 0
	for range rateTicks {
		// Answers make the reducer send more messages, which are answered in turn.
		for ; answered < len(s.sent); answered++ {
			s.answer(s.sent[answered])
		}
		if started, ok := s.started[s.last]; ok {
			return started, true
		}
		s.now += 10 * time.Millisecond
		s.step(core.Tick{})
	}
	return core.StartAttempt{}, false
}

// answer plays the peer that a request's message goes to.
func (s *solo) answer(m core.SendMessage) {
	switch ask := m.Message.(type) {
	case *wire.Admit:
		s.reply(m.To, &wire.AdmitReply{Attempt: ask.Attempt, Decision: wire.DecisionGranted})
	case *wire.RateRequest:
		if ask.Ask == 0 {
			return
		}
		s.reply(m.To, &wire.RateGrant{
			Customer: ask.Customer, Ask: ask.Ask, BatchOwner: 1, Batch: ask.Ask, Tokens: ask.Want, LifeMs: 1000,
		})
	}
}

func (s *solo) reply(from fleet.InstanceID, m wire.Message) {
	s.step(core.PeerMessage{From: from, Incarnation: 1, Message: m})
}

// homePart admits and releases a request of a peer.
func (s *solo) homePart() {
	peer := s.linked[int(s.last)%len(s.linked)]
	engine := s.owned()
	if engine == "" {
		return
	}
	attempt := uint64(s.last)
	s.message(peer, &wire.Admit{Attempt: attempt, Engine: engine, Customer: "c1", Chat: fleet.ChatKey(attempt), Class: 1, Fingerprint: fleet.Fingerprint(attempt)})
	s.message(peer, &wire.Release{Attempt: attempt, Engine: engine, Result: wire.ResultComplete})
}

// owned returns an engine that this instance is home of, or "".
func (s *solo) owned() fleet.EngineID {
	if s.ownedEngine == "" {
		for _, e := range s.core.Status().Engines {
			if e.Home == s.rows[0].ID {
				s.ownedEngine = e.ID
				break
			}
		}
	}
	return s.ownedEngine
}

// memberChange makes a peer draining and takes it back: two changes of the view, each of
// which assigns the homes of all engines of the region again.
func (s *solo) memberChange() {
	peer := s.linked[len(s.linked)/2]
	for _, draining := range []bool{true, false} {
		s.beats++
		s.message(peer, &wire.Heartbeat{Sequence: s.beats, ConfigVersion: s.version, Draining: draining})
	}
}

// change publishes a change of one customer and takes it into force.
func (s *solo) change() {
	files := s.size.files()
	files["customers.yaml"] = append(files["customers.yaml"], fmt.Sprintf("# change %d\n", s.version)...)
	s.publish(files)
	s.step(core.ConfigHandoff{Manifest: s.values[revision.HeadKey], Blobs: blobsOf(files)})
	s.ownedEngine = ""
}

func (s *solo) status() { s.core.Status() }

// EventCosts measures each kind of event at each size and prints the load of one instance.
func EventCosts(w io.Writer, sizes []Size) {
	for _, kind := range eventKinds {
		series := Series{Name: "reducer: " + kind.name, XName: "instances", Unit: "us", Target: float64(Target.Instances)}
		var cost Cost
		var rate float64
		for _, size := range sizes {
			s := newSolo(size)
			cost = measure(eventTime, s.beatAll, func() { kind.act(s) })
			rate = kind.perSecond(s)
			series.Points = append(series.Points, Point{float64(size.Instances), float64(cost.Time.Nanoseconds()) / 1000})
		}
		last := sizes[len(sizes)-1]
		fmt.Fprintln(w, series)
		fmt.Fprintf(w, "    at %d instances: %.4g/s, %.4g us, %.0f allocations, %.0f B: %.4f%% of a core\n",
			last.Instances, rate, float64(cost.Time.Nanoseconds())/1000, cost.Allocs, cost.Bytes, rate*cost.Time.Seconds()*100)
	}
}
