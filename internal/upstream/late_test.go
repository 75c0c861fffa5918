package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/upstream"
)

// suspender returns a function that suspends this process for 400 ms.
func suspender(t *testing.T) func() {
	cmd := exec.Command("sh", "-c", "read go; kill -STOP $PPID; sleep 0.4; kill -CONT $PPID")
	stdin, err := cmd.StdinPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	return func() {
		_, err := io.WriteString(stdin, "go\n")
		require.NoError(t, err)
		require.NoError(t, cmd.Wait())
	}
}

// Guards against an engine that counts as unreachable because this process was suspended while it opened a connection: a stream
// that was to go on there is cut.
func TestDialOfASuspendedProcess(t *testing.T) {
	addr := startEngine(t, func(net.Conn, *bufio.Reader) {})
	suspend := suspender(t)
	p := upstream.NewPool(func(ctx context.Context, network, addr string) (net.Conn, error) {
		suspend()
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	})
	conn, err := p.Open(t.Context(), addr)
	require.NoError(t, err)
	conn.Close()
}

// Guards against a dial without end.
func TestDialThatIsNotAnswered(t *testing.T) {
	began := time.Now()
	p := upstream.NewPool(func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	_, err := p.Open(t.Context(), "127.0.0.1:1")
	require.ErrorContains(t, err, "dial timeout")
	require.Less(t, time.Since(began), 10*time.Second)
}
