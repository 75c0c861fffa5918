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
	"github.com/bilberrywell/bilberrywell/registry"
	"github.com/bilberrywell/bilberrywell/replica"
	"github.com/bilberrywell/bilberrywell/routing"
)

// fakeDecoder reads configurations as a version with padding, and registrations as "ready" or "draining",
// followed by "@" and the start time and by "#" and the version if there are any. The data centre of an engine follows a
// dot in its id; without one it is "dc".
type fakeDecoder struct{}

func (fakeDecoder) Prefixes() (string, string) { return "config", "engines/" }

func (fakeDecoder) EvacuationPrefix() string { return "evacuate/" }

func (fakeDecoder) Evacuation(key string, value []byte) (fleet.DataCentre, error) {
	if string(value) != "{}" {
		return fleet.DataCentre(strings.TrimPrefix(key, "evacuate/")), errors.New("no object")
	}
	return fleet.DataCentre(strings.TrimPrefix(key, "evacuate/")), nil
}

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
	text, version, _ := strings.Cut(string(value), "#")
	state, started, _ := strings.Cut(text, "@")
	if state != "ready" && state != "draining" {
		return registry.Engine{}, errors.New("bad registration")
	}
	startedAt, _ := strconv.ParseInt(started, 10, 64)
	id := strings.TrimPrefix(key, "engines/")
	dc := "dc"
	if _, name, found := strings.Cut(id, "."); found {
		dc = name
	}
	return registry.Engine{ID: fleet.EngineID(id), Service: "s", Addr: id + ":80", DataCentre: fleet.DataCentre(dc), Slots: 8, Draining: state == "draining", StartedAtMillis: startedAt,
		Version: fleet.EngineVersion(version)}, nil
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
