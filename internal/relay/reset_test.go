package relay

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a reset of the engine that arrives as an orderly end, because the relay's write has met it before its read.
func TestEngineThatResetsWhileTheRequestIsWritten(t *testing.T) {
	for range 20 {
		b := newBed(t)
		peer, engine := b.connect()
		written := make(chan error, 1)
		go func() {
			_, err := peer.Write(make([]byte, 16<<20))
			written <- err
		}()
		_, err := io.ReadFull(engine, make([]byte, 100))
		require.NoError(t, err)
		_, err = io.WriteString(engine, "part")
		require.NoError(t, err)
		// The rest of the request fills the buffers, so that a write is under way.
		time.Sleep(20 * time.Millisecond)
		require.NoError(t, engine.SetLinger(0))
		require.NoError(t, engine.Close())
		_, err = io.ReadAll(peer)
		require.Error(t, err)
		require.NoError(t, peer.Close())
		<-written
	}
}
