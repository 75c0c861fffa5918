package router

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/replica"
)

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
