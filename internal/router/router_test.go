package router

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/registry"
	"github.com/bilberrywell/bilberrywell/replica"
	"github.com/bilberrywell/bilberrywell/routing"
)

// fakeDecoder reads configurations as a version with padding, and registrations as "ready" or "draining".
type fakeDecoder struct{}

func (fakeDecoder) Prefixes() (string, string) { return "config", "engines/" }

func (fakeDecoder) Configuration(value []byte) (routing.Config, error) {
	version, err := strconv.ParseUint(strings.TrimSpace(string(value)), 10, 64)
	if err != nil {
		return routing.Config{}, err
	}
	route := func(prefix string, kind routing.Kind, attempts int, resumable bool) routing.Route {
		return routing.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Timeout: time.Second, TargetLatency: 100 * time.Millisecond, MaxAttempts: attempts, Resumable: resumable,
			Shares: []routing.Share{{Service: "s", Weight: 1}}, Affinity: kind == routing.Streaming, Anonymous: true,
		}
	}
	return routing.Config{
		Version:  version,
		Services: []routing.Service{{ID: "s", MaxConnections: 40}},
		Routes: []routing.Route{
			route("/get/", routing.Idempotent, 2, false), route("/post/", routing.NonIdempotent, 1, false),
			route("/plan/", routing.Streaming, 1, false), route("/chat/", routing.Streaming, 2, true),
		},
	}, nil
}

func (fakeDecoder) Engine(key string, value []byte) (registry.Engine, error) {
	if v := string(value); v != "ready" && v != "draining" {
		return registry.Engine{}, errors.New("bad registration")
	}
	id := strings.TrimPrefix(key, "engines/")
	return registry.Engine{ID: fleet.EngineID(id), Service: "s", Addr: id + ":80", DataCentre: "dc", Slots: 8, Draining: string(value) == "draining"}, nil
}

// session drives a router and keeps the effects of the last step.
type session struct {
	t    *testing.T
	r    *Router
	now  time.Duration
	out  []Effect
	last CallID
}

func newSession(t *testing.T, engines int) *session { return newNamedSession(t, "i1", engines) }

func newNamedSession(t *testing.T, id fleet.InstanceID, engines int) *session {
	s := &session{t: t, r: New(Config{Instance: id, DataCentre: "dc", StoreDecoder: fakeDecoder{}, RetryReserve: 100})}
	s.step(Tick{})
	listing := []replica.Fact{{Key: "config", Revision: 1, Value: []byte("1")}}
	for i := range engines {
		listing = append(listing, replica.Fact{Key: fmt.Sprintf("engines/e%d", i), Revision: uint64(2 + i), Value: []byte("ready")})
	}
	s.step(KeysListed{Facts: listing, AtRevision: 100})
	return s
}

func (s *session) step(ev Event) []Effect {
	s.out = nil
	for _, e := range s.r.Step(s.now, ev) {
		many, ok := e.(SendToMany)
		if !ok {
			s.out = append(s.out, e)
			continue
		}
		for _, to := range many.To {
			s.out = append(s.out, SendMessage{To: to, Message: many.Message})
		}
	}
	return s.out
}

func (s *session) advance(d time.Duration) { s.now += d }

// find returns the last effect of a type.
func find[E Effect](s *session) (E, bool) {
	for i := len(s.out) - 1; i >= 0; i-- {
		if e, ok := s.out[i].(E); ok {
			return e, true
		}
	}
	var none E
	return none, false
}

func must[E Effect](s *session) E {
	e, ok := find[E](s)
	require.True(s.t, ok, "no %T in %v", e, s.out)
	return e
}

// call sends a request and returns the first attempt.
func (s *session) call(path string) Send {
	s.last++
	s.step(CallArrived{Call: Call{ID: s.last, Host: "h", Path: path, Prompt: fleet.ChatKey(s.last), Fingerprint: fleet.Fingerprint(1000 + s.last), Arrived: s.now}})
	return must[Send](s)
}

func (s *session) endAttempt(o Outcome) { s.step(AttemptEnded{Call: s.last, Outcome: o}) }

// Guards against requests that run more often than their kind allows, and against refusals that state
// that a request has not run although it may have.
func TestWhatFollowsAnAttempt(t *testing.T) {
	const again = Refusal(100)
	const deliver = Refusal(101)
	for _, c := range []struct {
		path    string
		outcome Outcome
		want    Refusal
	}{
		{"/get/x", Unsent, again}, {"/get/x", Rejected, again}, {"/get/x", Misdirected, again},
		{"/get/x", Errored, again}, {"/get/x", Broken, again}, {"/get/x", TimedOut, TooLate},
		{"/post/x", Unsent, again}, {"/post/x", Rejected, again}, {"/post/x", Misdirected, again},
		{"/post/x", Errored, deliver}, {"/post/x", Broken, MayHaveRun}, {"/post/x", TimedOut, TooLate},
		{"/plan/x", Rejected, again}, {"/plan/x", Broken, MayHaveRun},
		{"/chat/x", Broken, again}, {"/chat/x", Errored, again}, {"/chat/x", Stalled, again}, {"/get/x", Stalled, again},
	} {
		t.Run(c.path+" "+c.outcome.String(), func(t *testing.T) {
			s := newSession(t, 5)
			first := s.call(c.path)
			s.endAttempt(c.outcome)
			second, sent := find[Send](s)
			switch c.want {
			case again:
				require.True(t, sent)
				require.NotEqual(t, first.Engine.ID, second.Engine.ID)
			case deliver:
				must[DeliverFailure](s)
			default:
				require.False(t, sent)
				require.Equal(t, c.want, must[Refuse](s).Refusal)
			}
		})
	}
}

// Guards against instances that together keep more connections than an engine accepts.
func TestIdleShareShrinksWithTheFleet(t *testing.T) {
	s := newSession(t, 1)
	require.InDelta(t, 30, s.call("/get/x").IdleShare, 1e-9)
	s.link(59)
	require.InDelta(t, 0.5, s.call("/get/x").IdleShare, 1e-9)
}

// Guards against a refusal that replaces an engine's failure response that is held back.
func TestHeldFailureIsBetterThanARefusal(t *testing.T) {
	s := newSession(t, 2)
	s.call("/get/x")
	s.endAttempt(Errored)
	s.endAttempt(Unsent)
	must[DeliverFailure](s)
	_, refused := find[Refuse](s)
	require.False(t, refused)
	require.Empty(t, s.r.calls)
	// A caller that has received a part of a stream can't be sent a failure response.
	s.call("/chat/x")
	s.endAttempt(Errored)
	s.step(AttemptEnded{Call: s.last, Outcome: Broken, Delivered: true})
	require.Equal(t, MayHaveRun, must[Refuse](s).Refusal)
}

// Guards against waiting for a lost response although another engine could still meet the target
// latency, and against giving up on an engine when no other attempt may follow.
func TestStallLimits(t *testing.T) {
	s := newSession(t, 3)
	require.Zero(t, s.call("/get/x").HeaderTimeout, "no latency is known yet")
	s.step(AttemptEnded{Call: s.last, Outcome: Completed, FirstByte: 20 * time.Millisecond})
	require.Equal(t, 60*time.Millisecond, s.call("/get/x").HeaderTimeout)
	s.endAttempt(Stalled)
	require.Zero(t, must[Send](s).HeaderTimeout, "no other attempt may follow")
	s.call("/post/x")
	s.step(AttemptEnded{Call: s.last, Outcome: Completed, FirstByte: 20 * time.Millisecond})
	require.Zero(t, s.call("/post/x").HeaderTimeout)
	s.r.cfg.RetryReserve = 0
	s.r.divideBudgets()
	require.Zero(t, s.call("/get/x").HeaderTimeout, "the budget is used up")
}

// Guards against an attempt that is ended as stalled although no other engine can take the request, and against
// a late report that ends the attempt after it.
func TestStalledAttemptEndsOnlyForAnotherEngine(t *testing.T) {
	ended := func(s *session) bool {
		_, ok := find[EndStalledAttempt](s)
		return ok
	}
	s := newSession(t, 2)
	first := s.call("/chat/x")
	s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
	require.True(t, ended(s))
	s.endAttempt(Stalled)
	require.NotEqual(t, first.Engine.ID, must[Send](s).Engine.ID)
	s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
	require.False(t, ended(s), "the report is about the attempt before")
	s.endAttempt(Completed)

	first = s.call("/chat/x")
	other := map[fleet.EngineID]fleet.EngineID{"e0": "e1", "e1": "e0"}[first.Engine.ID]
	s.r.pools["s"].engines.SetQuiet(other, s.now+500*time.Millisecond)
	s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
	require.False(t, ended(s), "the other engine wants no requests")
	s.advance(500 * time.Millisecond)
	s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
	require.True(t, ended(s))
	s.endAttempt(Completed)

	first = s.call("/plan/x")
	s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
	require.False(t, ended(s), "the request must not run again")
}

// Guards against a third engine for a request that may run on two.
func TestMaxAttempts(t *testing.T) {
	s := newSession(t, 5)
	s.call("/get/x")
	s.endAttempt(Broken)
	require.False(t, must[Send](s).HoldFailure)
	s.endAttempt(Broken)
	require.Equal(t, MayHaveRun, must[Refuse](s).Refusal)
}

// Guards against a NotRun refusal after an attempt that may have run.
func TestRejectionAfterALossIsNoPromise(t *testing.T) {
	s := newSession(t, 2)
	s.call("/get/x")
	s.endAttempt(Broken)
	must[Send](s)
	s.endAttempt(Rejected)
	require.Equal(t, MayHaveRun, must[Refuse](s).Refusal)
}

// Guards against more retries than the budget allows.
func TestRetryBudget(t *testing.T) {
	s := newSession(t, 5)
	s.r.cfg.RetryRatio, s.r.cfg.RetryReserve = 0.2, 0
	s.r.divideBudgets()
	repeats := 0
	for range 100 {
		s.call("/get/x")
		s.endAttempt(Rejected)
		if _, ok := find[Send](s); ok {
			repeats++
			s.endAttempt(Completed)
		}
	}
	require.LessOrEqual(t, repeats, 20)
	require.Greater(t, repeats, 10)
}

// Guards against a conversation that loses its cache although its engine is healthy.
func TestPromptStaysAtItsEngine(t *testing.T) {
	s := newSession(t, 9)
	engine := s.call("/chat/x").Engine.ID
	s.endAttempt(Completed)
	for range 20 {
		s.step(CallArrived{Call: Call{ID: 50, Host: "h", Path: "/chat/x", Prompt: 1, Arrived: s.now}})
		require.Equal(t, engine, must[Send](s).Engine.ID)
		s.step(AttemptEnded{Call: 50, Outcome: Completed})
	}
}

// Guards against an engine that stays expelled forever because its address once belonged to another
// one, and against one that is readmitted although its registration is gone.
func TestExpelledEngineComesBackWhileItIsRegistered(t *testing.T) {
	s := newSession(t, 2)
	for range 2 {
		s.call("/get/x")
		s.endAttempt(Misdirected)
	}
	require.Zero(t, s.r.registry.Len())
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "engines/e1", Revision: 300, Deleted: true}}, AtRevision: 300})
	s.advance(expulsionPeriod - time.Millisecond)
	s.step(Tick{})
	require.Zero(t, s.r.registry.Len())
	s.advance(time.Millisecond)
	s.step(Tick{})
	require.Equal(t, 1, s.r.registry.Len())
	require.Equal(t, fleet.EngineID("e0"), s.call("/get/x").Engine.ID)
}

// Guards against new work for an engine that is draining, gone, or whose registration can't be read.
func TestLeavingEngines(t *testing.T) {
	for _, f := range []replica.Fact{
		{Key: "engines/e0", Revision: 101, Value: []byte("draining")},
		{Key: "engines/e0", Revision: 101, Deleted: true},
		{Key: "engines/e0", Revision: 101, Value: []byte("\xff")},
	} {
		s := newSession(t, 2)
		s.step(KeysChanged{Facts: []replica.Fact{f}, AtRevision: 101})
		for range 20 {
			require.Equal(t, fleet.EngineID("e1"), s.call("/get/x").Engine.ID)
			s.endAttempt(Completed)
		}
	}
}

// Guards against an older or unreadable configuration that replaces the one in force.
func TestConfigurationNeverGoesBack(t *testing.T) {
	s := newSession(t, 1)
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "config", Revision: 200, Value: []byte("7")}}, AtRevision: 200})
	require.Equal(t, uint64(7), must[ConfigInForce](s).Table.Version)
	for revision, value := range map[uint64]string{201: "5", 202: "broken"} {
		s.step(KeysChanged{Facts: []replica.Fact{{Key: "config", Revision: revision, Value: []byte(value)}}, AtRevision: revision})
		_, changed := find[ConfigInForce](s)
		require.False(t, changed)
	}
	require.Equal(t, uint64(7), s.r.table.Version)
}

// Guards against the loss of all engines when their registrations expire while the store is
// unreachable.
func TestLapsedRegistrationsStayForAWhile(t *testing.T) {
	s := newSession(t, 2)
	s.step(StoreLost{Err: errors.New("refused")})
	s.advance(5 * time.Second)
	s.step(KeysListed{Facts: []replica.Fact{{Key: "config", Revision: 1, Value: []byte("1")}, {Key: "engines/e1", Revision: 150, Value: []byte("ready")}}, AtRevision: 160})
	s.call("/get/x")
	s.endAttempt(Completed)
	require.Equal(t, 2, s.r.registry.Len())
	s.advance(3 * time.Second)
	s.step(Tick{})
	require.Equal(t, 1, s.r.registry.Len())
}

// Guards against an instance that is ready before it can route, or while it stops.
func TestReadiness(t *testing.T) {
	s := &session{t: t, r: New(Config{Instance: "i1", StoreDecoder: fakeDecoder{}})}
	s.step(Tick{})
	require.True(t, must[WatchStore](s).On)
	s.step(KeysListed{AtRevision: 1})
	_, ok := find[SetReady](s)
	require.False(t, ok)
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "config", Revision: 2, Value: []byte("1")}}, AtRevision: 2})
	require.True(t, must[SetReady](s).Ready)
	s.step(DrainRequested{})
	require.False(t, must[SetReady](s).Ready)
}

// Guards against requests that are refused although the first configuration is about to arrive, and
// against requests that wait for one that does not.
func TestRequestsBeforeTheFirstConfiguration(t *testing.T) {
	s := &session{t: t, r: New(Config{Instance: "i1", StoreDecoder: fakeDecoder{}})}
	arrive := func(id CallID) []Effect {
		return s.step(CallArrived{Call: Call{ID: id, Host: "h", Path: "/get/x", Arrived: s.now}})
	}
	require.Empty(t, arrive(1))
	s.advance(firstConfigTimeout - time.Millisecond)
	s.step(Tick{})
	_, refused := find[Refuse](s)
	require.False(t, refused)
	require.Empty(t, arrive(2))
	require.Empty(t, arrive(3))
	s.advance(time.Millisecond)
	s.step(Tick{})
	refusal := must[Refuse](s)
	require.Equal(t, Refuse{Call: 1, Refusal: NotRun, Code: "no_configuration", RetryAfter: noConfigRetryAfter}, refusal)
	s.step(CallerDisconnected{Call: 3})
	s.step(KeysListed{Facts: []replica.Fact{
		{Key: "config", Revision: 1, Value: []byte("1")}, {Key: "engines/e1", Revision: 2, Value: []byte("ready")},
	}, AtRevision: 2})
	require.Equal(t, CallID(2), must[Send](s).Call)
	s.step(Tick{})
	_, sent := find[Send](s)
	require.False(t, sent, "the caller of the third request has left")
}

// Guards against requests that are refused after a restart of the whole fleet although the configuration is on
// its way, and against requests that wait in vain or for longer than their callers can use.
func TestWaitForTheFirstConfigurationFitsTheCaller(t *testing.T) {
	refusedAfter := func(callerTimeout time.Duration, storeLost bool) time.Duration {
		s := &session{t: t, r: New(Config{Instance: "i1", StoreDecoder: fakeDecoder{}})}
		s.step(Tick{})
		if storeLost {
			s.step(StoreLost{Err: errors.New("refused")})
		}
		s.step(CallArrived{Call: Call{ID: 1, Host: "h", Path: "/get/x", CallerTimeout: callerTimeout, Arrived: s.now}})
		for {
			if _, refused := find[Refuse](s); refused {
				return s.now
			}
			require.Less(t, s.now, time.Minute)
			s.advance(10 * time.Millisecond)
			s.step(Tick{})
		}
	}
	// An instance with a fifth of a core needs 450 ms after a restart of 95 instances.
	require.GreaterOrEqual(t, refusedAfter(10*time.Second, false), 500*time.Millisecond)
	require.LessOrEqual(t, refusedAfter(10*time.Second, false), 700*time.Millisecond)
	require.LessOrEqual(t, refusedAfter(600*time.Millisecond, false), 160*time.Millisecond)
	require.LessOrEqual(t, refusedAfter(10*time.Second, true), 160*time.Millisecond, "the store can't be read")
}

// Guards against an instance that starts while the store is down and stays not ready although its peers
// have the configuration and the engines.
func TestStartsFromPeers(t *testing.T) {
	s := &session{t: t, r: New(Config{Instance: "i1", Seeds: []string{"i2"}, StoreDecoder: fakeDecoder{}})}
	s.step(Tick{})
	require.Equal(t, fleet.InstanceID("i2"), must[SetPeers](s).Peers[0].ID)
	s.step(StoreLost{Err: errors.New("refused")})
	s.step(PeerUp{Instance: "i2", Incarnation: 1})
	s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.StatusReport{Sequence: 1, NewestRevision: 9, FactsDigest: 1}})
	require.Len(t, s.sent(wire.KindFactsRequest)[0].Message.(*wire.FactsRequest).Buckets, replica.Buckets)
	s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.StoreFacts{Facts: []wire.StoreFact{
		{Key: "config", Revision: 2, Value: []byte("1")}, {Key: "engines/e1", Revision: 3, Value: []byte("ready")},
	}}})
	require.True(t, must[SetReady](s).Ready)
	require.Equal(t, fleet.EngineID("e1"), s.call("/get/x").Engine.ID)
}

// Guards against a drain that cuts off requests, or that accepts requests until the process is killed.
func TestDrain(t *testing.T) {
	s := newSession(t, 1)
	s.call("/plan/x")
	s.step(DrainRequested{})
	s.advance(2 * time.Second)
	s.step(Tick{})
	_, closed := find[StopAccepting](s)
	require.False(t, closed)
	s.advance(time.Second)
	s.step(Tick{})
	must[StopAccepting](s)
	_, drained := find[Drained](s)
	require.False(t, drained)
	s.endAttempt(Completed)
	s.step(Tick{})
	must[Drained](s)
}

// Guards against a request that crashes one engine after the other.
func TestRequestThatCrashesEnginesIsRefused(t *testing.T) {
	s := newSession(t, 6)
	crashes := 0
	for try := range 6 {
		s.last++
		s.step(CallArrived{Call: Call{ID: s.last, Host: "h", Path: "/post/x", Fingerprint: 7, Arrived: s.now}})
		sent, ok := find[Send](s)
		if !ok {
			require.Equal(t, "quarantined", must[Refuse](s).Code)
			require.Equal(t, NotRun, must[Refuse](s).Refusal)
			break
		}
		require.Less(t, try, 3, "refused after three crashes")
		s.endAttempt(Broken)
		check := must[CheckEngine](s)
		require.Equal(t, sent.Engine.ID, check.Engine)
		s.step(EngineChecked{Engine: check.Engine, Reachable: false})
		crashes++
		s.advance(10 * time.Second)
	}
	require.Equal(t, 3, crashes)
}

// Guards against a popular request that is refused because engines crashed while it ran.
func TestAnsweredRequestIsNotSuspected(t *testing.T) {
	s := newSession(t, 6)
	for range 5 {
		s.last++
		s.step(CallArrived{Call: Call{ID: s.last, Host: "h", Path: "/get/x", Fingerprint: 7, Arrived: s.now}})
		must[Send](s)
		s.endAttempt(Broken)
		check := must[CheckEngine](s)
		s.step(EngineChecked{Engine: check.Engine, Reachable: false})
		s.step(AttemptEnded{Call: s.last, Outcome: Completed})
		s.advance(5 * time.Second)
	}
	s.step(CallArrived{Call: Call{ID: 99, Host: "h", Path: "/get/x", Fingerprint: 7, Arrived: s.now}})
	must[Send](s)
}

// Guards against an engine that stays in use although its registration was replaced by nonsense, while
// disappeared registrations are only suspended, and against one that is not used again when it registers.
func TestUnreadableRegistrationNamesNoEngine(t *testing.T) {
	s := newSession(t, 2)
	s.step(StoreLost{})
	s.advance(time.Second)
	s.step(KeysChanged{Facts: []replica.Fact{
		{Key: "engines/e0", Revision: 101, Value: []byte("nonsense")}, {Key: "engines/e1", Revision: 102, Deleted: true},
	}, AtRevision: 102})
	_, usable := s.r.registry.Get("e0")
	require.False(t, usable)
	_, usable = s.r.registry.Get("e1")
	require.True(t, usable, "the engine may register again")
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "engines/e0", Revision: 103, Value: []byte("ready")}}, AtRevision: 103})
	_, usable = s.r.registry.Get("e0")
	require.True(t, usable)
}

// Guards against an engine that has left, or a key that was removed, that a peer with older facts brings back
// at an instance that has just started: its first list of the store lacks the key, but it has seen no deletion.
func TestOlderFactsOfPeersDontBringKeysBack(t *testing.T) {
	s := newSession(t, 1) // The list is of revision 100.
	s.link(1)
	s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.StoreFacts{Facts: []wire.StoreFact{
		{Key: "engines/left", Revision: 90, Value: []byte("ready")}, {Key: "engines/new", Revision: 101, Value: []byte("ready")},
	}}})
	_, known := s.r.registry.Get("left")
	require.False(t, known)
	_, known = s.r.registry.Get("new")
	require.True(t, known)
}
