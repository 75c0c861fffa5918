package router

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/replica"
)

// limitWindow is the time over which an engine accepts at most one and a half times its limit and five
// requests more.
const limitWindow = 4 * time.Second

func acceptedInWindow(limit float64) float64 { return 1.5*limit*limitWindow.Seconds() + 5 }

// mostInWindow returns the largest number of times within any limitWindow. The times are sorted.
func mostInWindow(times []time.Duration) int {
	most, from := 0, 0
	for i, at := range times {
		for at-times[from] >= limitWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// answerWith lets the engine of a request's attempt answer and name a rate limit, or none if it is nil.
func (s *session) answerWith(limit *float64) {
	report := &EngineReport{RateLimit: limit, Confirmed: true}
	s.step(AttemptEnded{Call: s.last, Outcome: Completed, FirstByte: time.Millisecond, Report: report})
}

// Guards against requests to an engine beyond the limit that it names.
func TestNamedRateLimitIsKept(t *testing.T) {
	const limit = 2.0
	s := newSession(t, 4)
	sentAt := map[fleet.EngineID][]time.Duration{}
	refused := 0
	for range 2000 {
		s.advance(5 * time.Millisecond)
		s.step(Tick{})
		s.last++
		s.step(CallArrived{Call: Call{ID: s.last, Host: "h", Path: "/get/x", Fingerprint: 1, Arrived: s.now}})
		send, sent := find[Send](s)
		if !sent {
			refused++
			require.Equal(t, "rate_limited", must[Refuse](s).Code)
			require.Positive(t, must[Refuse](s).RetryAfter)
			continue
		}
		sentAt[send.Engine.ID] = append(sentAt[send.Engine.ID], s.now)
		named := limit
		s.answerWith(&named)
	}
	for id, times := range sentAt {
		require.LessOrEqual(t, float64(mostInWindow(times)), acceptedInWindow(limit), id)
		require.Greater(t, float64(len(times)), 0.9*limit*10, "the limit is used")
	}
	require.Len(t, sentAt, 4)
	require.Positive(t, refused)
}

// Guards against an engine with a limit that gets requests for which others have room.
func TestOtherEnginesTakeWhatALimitLeaves(t *testing.T) {
	s := newSession(t, 4)
	named := 1.0
	s.call("/get/x")
	limited := must[Send](s).Engine.ID
	s.answerWith(&named)
	for range 400 {
		s.advance(10 * time.Millisecond)
		if s.call("/get/x").Engine.ID == limited {
			s.answerWith(&named)
		} else {
			s.answerWith(nil)
		}
	}
	require.Equal(t, 1, s.r.Stats(s.now).Services[0].Limited)
}

// Guards against instances that each take the whole limit of an engine, in small and in large fleets, and
// against a limit that large fleets leave unused.
func TestFleetSharesTheLimitOfAnEngine(t *testing.T) {
	const limit, seconds = 5.0, 8
	for _, size := range []int{1, 7, 82, 490} {
		f := newMessageFleet(t, size, 1)
		var sentAt []time.Duration
		f.onSend = func(from fleet.InstanceID, send Send) {
			sentAt = append(sentAt, f.now)
			named := limit
			f.step(from, AttemptEnded{Call: send.Call, Outcome: Completed, Report: &EngineReport{RateLimit: &named, Confirmed: true}})
		}
		for round := 0; f.now < seconds*time.Second; round++ {
			f.run(50 * time.Millisecond)
			for i, id := range f.ids {
				if (i+round)%4 == 0 {
					f.arrive(id)
				}
			}
		}
		// The first answer reaches all instances within a second.
		bound := slices.DeleteFunc(slices.Clone(sentAt), func(at time.Duration) bool { return at < sentAt[0]+time.Second })
		require.LessOrEqual(t, float64(mostInWindow(bound)), acceptedInWindow(limit), "%d instances", size)
		require.Greater(t, float64(len(bound)), 0.7*limit*(seconds-1), "%d instances use the limit", size)
		for id, sent := range f.bytes {
			require.Less(t, sent, 64<<10, "bytes sent by %s of %d in eight seconds", id, size)
		}
	}
}

// Guards against requests that wait for an owner that does not answer, and against two owners that
// together hand out twice the limit for long.
func TestLostOwnerOfALimit(t *testing.T) {
	const limit = 2.0
	f := newMessageFleet(t, 30, 2)
	sends := map[fleet.EngineID][]time.Duration{}
	f.onSend = func(from fleet.InstanceID, send Send) {
		sends[send.Engine.ID] = append(sends[send.Engine.ID], f.now)
		report := &EngineReport{Confirmed: true}
		if send.Engine.ID == "e0" {
			named := limit
			report.RateLimit = &named
		}
		f.step(from, AttemptEnded{Call: send.Call, Outcome: Completed, Report: report})
	}
	traffic := func(d time.Duration) {
		for end := f.now + d; f.now < end; {
			f.run(50 * time.Millisecond)
			for _, id := range f.ids[:10] {
				if f.members[id] != nil {
					f.arrive(id)
				}
			}
		}
	}
	traffic(3 * time.Second)
	owner := f.members["i000"].r.limitOwner("e0")
	require.NotEmpty(t, owner)
	delete(f.members, owner)
	began := f.now
	traffic(2 * time.Second)
	for _, s := range f.members {
		for _, p := range s.r.tokens.pending {
			require.Less(t, f.now-p.askedAt, askTimeout+50*time.Millisecond)
		}
	}
	require.Greater(t, len(sends["e1"]), 300, "the other engine serves")
	for _, id := range f.ids {
		if f.members[id] != nil {
			f.step(id, PeerDown{Instance: owner, Incarnation: 1})
		}
	}
	traffic(4 * time.Second)
	late := slices.DeleteFunc(sends["e0"], func(at time.Duration) bool { return at < began })
	require.NotEmpty(t, late, "another instance has become the owner")
	require.LessOrEqual(t, float64(mostInWindow(late)), acceptedInWindow(limit))
}

// Guards against an instance that forgets a limit when it restarts or when the instance that learned it is
// lost, and against one that keeps it when the engine names none or is replaced.
func TestLimitLastsAsLongAsTheEngineNamesIt(t *testing.T) {
	f := newMessageFleet(t, 5, 1)
	limited := func(id fleet.InstanceID) bool { return f.members[id].r.Stats(f.now).Services[0].Limited == 1 }
	report := func(id fleet.InstanceID, limit *float64) {
		s := f.members[id]
		for range 100 {
			f.run(100 * time.Millisecond)
			s.now = f.now
			if _, sent := s.ask(1); sent {
				f.step(id, AttemptEnded{Call: s.last, Outcome: Completed, Report: &EngineReport{RateLimit: limit, Confirmed: true}})
				return
			}
		}
		t.Fatal("no request was sent")
	}
	named := 3.0
	report("i001", &named)
	f.run(time.Second)
	for _, id := range f.ids {
		require.True(t, limited(id), id)
	}
	delete(f.members, "i001")
	f.add("i002", 1)
	require.False(t, limited("i002"))
	f.step("i003", PeerUp{Instance: "i002", Incarnation: 1})
	f.run(100 * time.Millisecond)
	require.True(t, limited("i002"), "a peer tells the restarted instance")

	report("i004", nil)
	f.run(3 * time.Second)
	for _, id := range []fleet.InstanceID{"i000", "i002", "i003", "i004"} {
		require.False(t, limited(id), id)
	}

	report("i000", &named)
	f.run(time.Second)
	require.True(t, limited("i003"))
	f.step("i003", KeysChanged{Facts: []replica.Fact{{Key: "engines/e0", Revision: 300, Deleted: true}}, AtRevision: 300})
	f.step("i003", KeysChanged{Facts: []replica.Fact{{Key: "engines/e0", Revision: 301, Value: []byte("ready")}}, AtRevision: 301})
	require.False(t, limited("i003"), "the engine was replaced")
	f.run(31 * time.Second)
	require.False(t, limited("i000"), "nobody has confirmed the limit for long")
}

// Guards against a failure response without a limit that ends the limit, and against the out-of-date
// header of a stream that restores it.
func TestOnlyCurrentReportsChangeALimit(t *testing.T) {
	s := newSession(t, 1)
	named := 50.0
	limited := func() bool { return s.r.Stats(s.now).Services[0].Limited == 1 }
	s.call("/chat/x")
	s.step(ResponseStarted{Call: s.last, Report: EngineReport{RateLimit: &named, Confirmed: true}})
	stream := s.last
	require.True(t, limited())
	s.advance(time.Second)
	s.call("/get/x")
	s.step(AttemptEnded{Call: s.last, Outcome: Completed, Failed: true, Report: &EngineReport{}})
	require.True(t, limited())
	s.advance(time.Second)
	s.call("/get/x")
	s.answerWith(nil)
	require.False(t, limited())
	s.step(AttemptEnded{Call: stream, Outcome: Completed, Report: &EngineReport{RateLimit: &named, Confirmed: true}})
	require.False(t, limited())
}
