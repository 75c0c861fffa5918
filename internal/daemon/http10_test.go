package daemon_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/fleettest"
)

// sendHTTP10 sends a call of a caller that speaks HTTP/1.0 and reads its answer up to and including a text. The end of the
// connection ends an answer without a length.
func sendHTTP10(t *testing.T, node *fleettest.Node, until string) net.Conn {
	conn, err := net.Dial("tcp", node.Settings.CallerAddr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(fleettest.WaitTimeout)))
	_, err = io.WriteString(conn, "GET /v1/services/orders/x HTTP/1.0\r\nAuthorization: Bearer "+fleettest.APIKey+"\r\n\r\n")
	require.NoError(t, err)
	head := make([]byte, 0, 1024)
	for b := make([]byte, 1); len(head) < len(until) || string(head[len(head)-len(until):]) != until; head = append(head, b[0]) {
		_, err := io.ReadFull(conn, b)
		require.NoError(t, err, "after %q", head)
	}
	return conn
}

// Guards against a part of an answer that looks whole to a caller that speaks HTTP/1.0, because the engine broke off or the
// instance ended.
func TestPartOfAnAnswerIsResetForHTTP10(t *testing.T) {
	for name, end := range map[string]func(f *fleettest.Fleet, breakOff chan struct{}){
		"the engine breaks off": func(_ *fleettest.Fleet, breakOff chan struct{}) { close(breakOff) },
		"the instance ends":     func(f *fleettest.Fleet, _ chan struct{}) { f.KillNode(f.Nodes[0]) },
	} {
		t.Run(name, func(t *testing.T) {
			breakOff := make(chan struct{})
			f := fleettest.Start(t, fleettest.Options{Instances: 1, ServiceHandler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				// More than the buffers of the instance hold.
				_, _ = io.WriteString(w, strings.Repeat("part", 16<<10))
				_ = http.NewResponseController(w).Flush()
				select {
				case <-breakOff:
				case <-r.Context().Done():
				}
				panic(http.ErrAbortHandler)
			})})
			conn := sendHTTP10(t, f.Nodes[0], "\r\n\r\npart")
			end(f, breakOff)
			_, err := io.ReadAll(conn)
			require.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}

// Guards against a whole answer that counts as broken for a caller that speaks HTTP/1.0.
func TestWholeAnswerIsClosedForHTTP10(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Instances: 1, ServiceHandler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range 100 {
			_, _ = io.WriteString(w, "a part of it ")
			_ = http.NewResponseController(w).Flush()
		}
	})})
	rest, err := io.ReadAll(sendHTTP10(t, f.Nodes[0], "\r\n\r\n"))
	require.NoError(t, err)
	require.Len(t, rest, 1300)
}
