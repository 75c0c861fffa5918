package peer

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// Guards against a message that is accepted and never sent because it is larger than a batch and every frame
// already holds a stamp, and against small messages that wait for it.
func TestLargeMessagesArrive(t *testing.T) {
	for _, stamped := range []bool{false, true} {
		for _, size := range []int{1, 60 << 10, 70 << 10, 256 << 10, 1 << 20} {
			t.Run(fmt.Sprintf("stamped %t, %d bytes", stamped, size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					nw := newNetwork()
					a, b := startNode(nw, "a", 1), startNode(nw, "b", 2)
					defer a.stop()
					defer b.stop()
					if stamped {
						a.config.Stamp = func() uint64 { return 1 << 60 }
					}
					a.SetTargets(target("b"))
					require.Equal(t, "up-a-1", b.events())
					require.True(t, a.Send("b", &wire.Blob{Digest: "d", Data: make([]byte, size)}))
					// A steady load of small messages leaves no frame empty.
					received := ""
					for range 200 {
						require.True(t, a.Send("b", &wire.Release{Attempt: 1}))
						time.Sleep(minFrameInterval)
						received += b.events() + " "
					}
					require.Equal(t, 200, strings.Count(received, "release-a-1"))
					sendHeartbeats(2, a, b)
					received += b.events()
					require.Equal(t, 1, strings.Count(received, "blob-a-1"))
				})
			})
		}
	}
}

// Guards against a message that is accepted although no receiver accepts its frame.
func TestTooLargeMessageIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		a, b := startNode(nw, "a", 1), startNode(nw, "b", 2)
		defer a.stop()
		defer b.stop()
		a.SetTargets(target("b"))
		b.events()
		require.False(t, a.Send("b", &wire.Blob{Digest: "d", Data: make([]byte, wire.MaxFrameBytes)}))
		require.True(t, a.Send("b", &wire.Release{Attempt: 1}))
		require.Equal(t, "release-a-1", b.events())
	})
}
