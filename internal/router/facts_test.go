package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/replica"
)

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
