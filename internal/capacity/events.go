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

// minMeasureTime is the minimum time for which each kind of event is repeated.
const minMeasureTime = 100 * time.Millisecond

// eventKind is a kind of event that a reducer handles.
type eventKind struct {
	name string
	// perSecond returns the rate of the event at one instance.
	perSecond func(s *singleReducer) float64
	// run makes the reducer handle the event once.
	run func(s *singleReducer)
}

var eventKinds = []eventKind{
	{"10 ticks", constantRate(10), (*singleReducer).tenTicks},
	{"stop check", constantRate(4), (*singleReducer).stopCheck},
	{"heartbeat received", heartbeatRate, (*singleReducer).receiveHeartbeat},
	{"heartbeats of all peers, and own sent", sendRate, (*singleReducer).exchangeHeartbeats},
	{"instance list", constantRate(1 / 1.5), (*singleReducer).receiveInstanceList},
	{"request, entry and home here", requestRate, (*singleReducer).runRequest},
	{"member gone and back", memberRate, (*singleReducer).drainPeerAndReturn},
	{"configuration change", changeRate, (*singleReducer).changeConfiguration},
	{"status for an operator", constantRate(0), (*singleReducer).readStatus},
}

func constantRate(rate float64) func(*singleReducer) float64 {
	return func(*singleReducer) float64 { return rate }
}

// heartbeatRate is the rate of received heartbeats if every peer sends as often as the control
// budget allows, as peers do under load.
func heartbeatRate(s *singleReducer) float64 { return float64(len(s.linkedPeers)) * sendRate(s) }

// heartbeatBytes and heartbeatBudget are the size of a heartbeat and the bytes/s for heartbeats in
// internal/core. The budget is a third of the control budget of 12,288 bytes/s.
const (
	heartbeatBytes  = 48
	heartbeatBudget = 4096
)

func sendRate(s *singleReducer) float64 {
	return min(20, heartbeatBudget/float64(len(s.linkedPeers)*heartbeatBytes))
}

func requestRate(s *singleReducer) float64 {
	return s.size.RequestsPerSecond / float64(s.size.Instances)
}

// memberRate is the rate of 305 departures a day, each followed by a return.
func memberRate(*singleReducer) float64 { return 305.0 / 86400 }

func changeRate(s *singleReducer) float64 { return s.size.ChangesPerDay / 86400 }

// ticksPerMeasurement is the number of ticks that are measured together. They cover one round of the
// timers that do not run at each tick.
const ticksPerMeasurement = 10

// tenTicks advances the time by 100 ms in ticks of 10 ms.
func (s *singleReducer) tenTicks() {
	for range ticksPerMeasurement {
		s.now += 10 * time.Millisecond
		s.step(core.Tick{})
	}
}

// stopCheckInterval is the interval of the check for planned stops in internal/core.
const stopCheckInterval = 250 * time.Millisecond

// stopCheck advances the time by the interval of the stop check. The cost includes that of one tick.
func (s *singleReducer) stopCheck() {
	s.now += stopCheckInterval
	s.step(core.Tick{})
}

func (s *singleReducer) receiveHeartbeat() { s.receiveHeartbeatOf(int(s.heartbeatSequence), false) }

// exchangeHeartbeats advances the time by the longest heartbeat interval, so that the instance sends
// its heartbeats, and delivers a heartbeat of each peer.
func (s *singleReducer) exchangeHeartbeats() {
	s.sentMessages = s.sentMessages[:0]
	s.now += 1700 * time.Millisecond
	s.receiveAllHeartbeats()
	s.step(core.Tick{})
}

func (s *singleReducer) receiveInstanceList() { s.step(core.InstanceList{Rows: s.rows}) }

// runRequest runs one request with this instance as the entry, for which the peers that it asks grant
// everything, and admits one request of a peer with this instance as the home.
func (s *singleReducer) runRequest() {
	s.sentMessages = s.sentMessages[:0]
	s.lastRequest++
	s.now += time.Duration(float64(time.Second) / requestRate(s))
	s.step(core.RequestArrived{Request: s.lastRequest, Call: core.Call{
		Customer: fleet.CustomerID(fmt.Sprintf("c%d", int(s.lastRequest)%s.size.Customers)), Service: "model-0",
		Chat: fleet.ChatKey(fleet.Hash("chat", fmt.Sprint(s.lastRequest%100_000))), Fingerprint: fleet.Fingerprint(s.lastRequest),
	}})
	started, ok := s.awaitStart()
	if !ok {
		panic("capacity: a request was not started")
	}
	delete(s.started, s.lastRequest)
	s.step(core.FirstByte{Request: s.lastRequest, Attempt: started.Attempt})
	s.step(core.AttemptEnded{Request: s.lastRequest, Attempt: started.Attempt, Result: wire.ResultComplete})
	s.admitForPeer()
}

// maxRateWaitTicks bounds the wait for rate tokens in ticks. There is a wait because the owner of a
// customer's rate starts without tokens.
const maxRateWaitTicks = 100

// awaitStart answers the messages that the reducer sends for the last request until the request's
// attempt starts. It returns false if no attempt starts within maxRateWaitTicks.
func (s *singleReducer) awaitStart() (core.StartAttempt, bool) {
	answered := 0
	for range maxRateWaitTicks {
		// The reducer may send more messages in reaction to an answer. The loop answers those too.
		for ; answered < len(s.sentMessages); answered++ {
			s.answerMessage(s.sentMessages[answered])
		}
		if started, ok := s.started[s.lastRequest]; ok {
			return started, true
		}
		s.now += 10 * time.Millisecond
		s.step(core.Tick{})
	}
	return core.StartAttempt{}, false
}

// answerMessage answers a message as the peer that it is addressed to.
func (s *singleReducer) answerMessage(m core.SendMessage) {
	switch request := m.Message.(type) {
	case *wire.Admit:
		s.receiveReply(m.To, &wire.AdmitReply{Attempt: request.Attempt, Decision: wire.DecisionGranted})
	case *wire.RateRequest:
		if request.RequestID == 0 {
			return
		}
		s.receiveReply(m.To, &wire.RateGrant{
			Customer: request.Customer, RequestID: request.RequestID, BatchIncarnation: 1, Batch: request.RequestID, Tokens: request.Want, ValidForMs: 1000,
		})
	}
}

func (s *singleReducer) receiveReply(from fleet.InstanceID, m wire.Message) {
	s.step(core.PeerMessage{From: from, Incarnation: 1, Message: m})
}

// admitForPeer admits and releases a request of a peer for an engine of this home.
func (s *singleReducer) admitForPeer() {
	peer := s.linkedPeers[int(s.lastRequest)%len(s.linkedPeers)]
	engine := s.findOwnedEngine()
	if engine == "" {
		return
	}
	attempt := uint64(s.lastRequest)
	s.receiveMessage(peer, &wire.Admit{Attempt: attempt, Engine: engine, Customer: "c1", Chat: fleet.ChatKey(attempt), Class: 1, Fingerprint: fleet.Fingerprint(attempt)})
	s.receiveMessage(peer, &wire.Release{Attempt: attempt, Engine: engine, Result: wire.ResultComplete})
}

// findOwnedEngine returns an engine that this instance is home of, or "".
func (s *singleReducer) findOwnedEngine() fleet.EngineID {
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

// drainPeerAndReturn makes a peer start and stop draining. These are two changes of the view, each
// of which assigns the homes of all engines of the region again.
func (s *singleReducer) drainPeerAndReturn() {
	peer := s.linkedPeers[len(s.linkedPeers)/2]
	for _, draining := range []bool{true, false} {
		s.heartbeatSequence++
		s.receiveMessage(peer, &wire.Heartbeat{Sequence: s.heartbeatSequence, ConfigVersion: s.version, Draining: draining})
	}
}

// changeConfiguration publishes a changed customers file and puts it in force.
func (s *singleReducer) changeConfiguration() {
	files := s.size.configFiles()
	files["customers.yaml"] = append(files["customers.yaml"], fmt.Sprintf("# change %d\n", s.version)...)
	s.publish(files)
	s.step(core.ConfigPublished{Manifest: s.values[revision.HeadKey], Blobs: blobsOf(files)})
	s.ownedEngine = ""
}

func (s *singleReducer) readStatus() { s.core.Status() }

// EventCosts measures the cost of each kind of event at each size. For the last size it also prints
// the load that the kind causes at one instance.
func EventCosts(w io.Writer, sizes []Size) {
	for _, kind := range eventKinds {
		series := Series{Name: "reducer: " + kind.name, XName: "instances", Unit: "us", Target: float64(TargetSize.Instances)}
		var cost Cost
		var rate float64
		for _, size := range sizes {
			s := newSingleReducer(size)
			cost = measure(minMeasureTime, s.receiveAllHeartbeats, func() { kind.run(s) })
			rate = kind.perSecond(s)
			series.Points = append(series.Points, Point{float64(size.Instances), float64(cost.Time.Nanoseconds()) / 1000})
		}
		last := sizes[len(sizes)-1]
		fmt.Fprintln(w, series)
		fmt.Fprintf(w, "    at %d instances: %.4g/s, %.4g us, %.0f allocations, %.0f B: %.4f%% of a core\n",
			last.Instances, rate, float64(cost.Time.Nanoseconds())/1000, cost.Allocs, cost.Bytes, rate*cost.Time.Seconds()*100)
	}
}
