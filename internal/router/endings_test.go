package router

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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

// changingDecoder reads configurations that drop the service or the streaming routes in some versions.
type changingDecoder struct{ fakeDecoder }

func (d changingDecoder) Configuration(value []byte) (routing.Config, error) {
	c, err := d.fakeDecoder.Configuration(value)
	if err != nil {
		return c, err
	}
	for i := range c.Routes {
		c.Routes[i].TargetLatency = 400 * time.Millisecond
	}
	switch c.Version % 4 {
	case 1:
		c.Services[0].ID = "t"
		for i := range c.Routes {
			c.Routes[i].Shares = []routing.Share{{Service: "t", Weight: 1}}
		}
	case 2:
		c.Routes = c.Routes[:2]
	}
	return c, nil
}

func (d changingDecoder) Engine(key string, value []byte) (registry.Engine, error) {
	e, err := d.fakeDecoder.Engine(key, value)
	if strings.HasPrefix(string(e.ID), "t") {
		e.Service = "t"
	}
	return e, err
}

// openRequest is a request as package gateway sees it.
type openRequest struct {
	// attempts holds the attempts under way, the older one first.
	attempts []*openAttempt
	deadline time.Duration
	streams  bool
}

type openAttempt struct {
	engine fleet.EngineID
	// as is the outcome with which the router or the other attempt has ended it, or 0.
	as Outcome
}

// endings drives a router with random events and checks the commands for each request.
type endings struct {
	t        *testing.T
	seed     uint64
	r        *Router
	rng      *rand.Rand
	now      time.Duration
	revision uint64
	lastID   CallID
	requests map[CallID]*openRequest
	// left holds the attempts that are still ending after their request has ended.
	left   map[CallID]*openAttempt
	finals int
}

func newEndings(t *testing.T, seed uint64) *endings {
	return &endings{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), revision: 100, requests: map[CallID]*openRequest{}, left: map[CallID]*openAttempt{},
		r: New(Config{Instance: "i1", DataCentre: "dc", StoreDecoder: changingDecoder{}, RetryReserve: 4, Seed: seed, LoadControl: seed%2 == 1}),
	}
}

func (e *endings) step(ev Event) {
	for _, effect := range append([]Effect{}, e.r.Step(e.now, ev)...) {
		switch effect := effect.(type) {
		case Send:
			q := e.requests[effect.Call]
			require.NotNil(e.t, q, "an attempt of a request that has ended")
			if effect.Beside {
				require.Len(e.t, q.attempts, 1, "no attempt, or three at once")
				require.NotEqual(e.t, q.attempts[0].engine, effect.Engine.ID)
			} else {
				require.Empty(e.t, q.attempts, "two attempts at once")
			}
			q.attempts, q.deadline = append(q.attempts, &openAttempt{engine: effect.Engine.ID}), effect.Deadline
		case EndStalledAttempt:
			q := e.requests[effect.Call]
			require.Len(e.t, q.attempts, 2, "a stalled attempt ends only for another one")
			require.Equal(e.t, effect.Engine, q.attempts[1].engine)
			q.attempts[1].end(Stalled)
		case Command:
			q := e.requests[effect.Target()]
			require.NotNil(e.t, q, "a second final command")
			if len(q.attempts) > 0 {
				require.Len(e.t, q.attempts, 1)
				require.NotZero(e.t, q.attempts[0].as, "a final command while an attempt runs")
				e.left[effect.Target()] = q.attempts[0]
			}
			delete(e.requests, effect.Target())
			e.finals++
		}
	}
}

// end sets the outcome of an attempt that has not ended yet.
func (a *openAttempt) end(as Outcome) {
	if a.as == 0 {
		a.as = as
	}
}

// endAttempts ends the attempts that were ended or whose time is over, and some others.
func (e *endings) endAttempts(share float64) {
	for _, id := range slices.Sorted(maps.Keys(e.left)) {
		a := e.left[id]
		delete(e.left, id)
		e.step(AttemptEnded{Call: id, Engine: a.engine, Outcome: a.as})
	}
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		q := e.requests[id]
		switch {
		case q == nil:
			// It waited for room and was refused as the attempt of another request ended.
		case len(q.attempts) == 0:
			if e.rng.IntN(50) == 0 && share > 0 {
				e.step(CallerDisconnected{Call: id})
			}
		default:
			for _, a := range slices.Clone(q.attempts) {
				if e.requests[id] == q {
					e.goOn(id, q, a, share)
				}
			}
		}
	}
}

// goOn ends an attempt, lets it begin to respond in place of a silent one, or reports that it is silent.
func (e *endings) goOn(id CallID, q *openRequest, a *openAttempt, share float64) {
	ev := AttemptEnded{Call: id, Engine: a.engine, FirstByte: time.Millisecond, Delivered: q.streams && e.rng.IntN(2) == 0}
	beside := a != q.attempts[0]
	switch {
	case a.as != 0:
		ev.Outcome = a.as
	case e.now >= q.deadline:
		ev.Outcome = TimedOut
	case e.rng.Float64() < share:
		ev.Outcome = []Outcome{Completed, Completed, Unsent, Rejected, Misdirected, Errored, Broken, CallerLeft}[e.rng.IntN(8)]
		if beside && ev.Outcome == Completed {
			q.attempts[0].end(Stalled)
			return
		}
		ev.Discarded = beside && ev.Outcome == Errored
		if e.rng.IntN(2) == 0 {
			limit := float64(e.rng.IntN(4))
			ev.Report = &EngineReport{RateLimit: &limit, Confirmed: true, QuietFor: time.Duration(e.rng.IntN(2)) * time.Second}
		}
	default:
		if e.rng.IntN(4) == 0 {
			e.step(AttemptStalled{Call: id, Engine: a.engine})
		}
		return
	}
	q.attempts = slices.DeleteFunc(q.attempts, func(other *openAttempt) bool { return other == a })
	for _, other := range q.attempts {
		switch ev.Outcome {
		case Completed:
			other.end(Superseded)
		case CallerLeft:
			other.as = CallerLeft
		}
	}
	e.step(ev)
}

// change changes the store, the peers or the engines.
func (e *endings) change() {
	e.revision++
	fact := func(key, value string) replica.Fact {
		return replica.Fact{Key: key, Revision: e.revision, Value: []byte(value), Deleted: value == ""}
	}
	engine := fmt.Sprintf("engines/%c%d", "et"[e.rng.IntN(2)], e.rng.IntN(4))
	peer := fleet.InstanceID(fmt.Sprintf("i%d", 2+e.rng.IntN(4)))
	switch e.rng.IntN(8) {
	case 0:
		e.step(KeysChanged{Facts: []replica.Fact{fact("config", fmt.Sprint(e.revision))}, AtRevision: e.revision})
	case 1, 2, 3:
		e.step(KeysChanged{Facts: []replica.Fact{fact(engine, []string{"ready", "ready", "draining", "", "odd"}[e.rng.IntN(5)])}, AtRevision: e.revision})
	case 4:
		e.step(StoreLost{Err: errors.New("lost")})
	case 5, 6:
		e.step(PeerUp{Instance: peer, Incarnation: 1})
	case 7:
		e.step(PeerDown{Instance: peer, Incarnation: 1})
	}
}

// answerOwners answers some of the questions to the owners of rate limits.
func (e *endings) answerOwners() {
	peers := slices.Sorted(maps.Keys(e.r.members.linked))
	for _, id := range slices.Sorted(maps.Keys(e.r.tokens.pending)) {
		if e.rng.IntN(3) > 0 {
			reply := &wire.EngineTokenReply{ID: id, Admitted: e.rng.IntN(2) == 0, RetryAfterMs: uint32(e.rng.IntN(300))}
			if len(peers) > 0 {
				e.step(PeerMessage{From: peers[0], Incarnation: 1, Message: reply})
			}
		}
	}
}

// Guards against a request that gets neither a response nor a refusal, or two of them: one that waits for a
// configuration, an engine or the owner of a rate limit that is gone, or whose service a configuration drops.
func TestEachRequestEndsOnce(t *testing.T) {
	for seed := range uint64(60) {
		newEndings(t, seed).play(nil)
	}
}

// play passes random events and checks in the end that each request has ended once. It calls each, if it is given, before
// every request.
func (e *endings) play(each func()) {
	paths := []string{"/get/x", "/post/x", "/plan/x", "/chat/x", "/none/x"}
	for range 2000 {
		e.now += time.Duration(e.rng.IntN(20)) * time.Millisecond
		if each != nil {
			each()
		}
		path := paths[e.rng.IntN(len(paths))]
		e.lastID++
		e.requests[e.lastID] = &openRequest{streams: path == "/plan/x" || path == "/chat/x"}
		e.step(CallArrived{Call: Call{ID: e.lastID, Host: "h", Path: path, Prompt: fleet.ChatKey(e.rng.IntN(20)), Fingerprint: fleet.Fingerprint(e.lastID), Arrived: e.now}})
		e.endAttempts(0.2)
		e.answerOwners()
		if e.rng.IntN(5) == 0 {
			e.change()
		}
		if e.rng.IntN(2) == 0 {
			e.step(Tick{})
		}
	}
	for range 40 {
		e.now += 50 * time.Millisecond
		e.step(Tick{})
		e.endAttempts(0)
	}
	require.Empty(e.t, e.requests, "seed %d", e.seed)
	require.Empty(e.t, e.left)
	require.Empty(e.t, e.r.runningCounts(), "seed %d", e.seed)
	require.Empty(e.t, e.r.calls)
	require.Empty(e.t, e.r.tokens.pending)
	require.Empty(e.t, e.r.delayed.pending)
	require.Equal(e.t, int(e.lastID), e.finals)
}
