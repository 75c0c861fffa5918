package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/fleettest"
	"github.com/bilberrywell/bilberrywell/internal/httputil"
	"github.com/bilberrywell/bilberrywell/internal/settings"
)

// Guards against an empty success that no service gave: a caller that has closed its sending side, and still reads,
// would take it for the answer.
func TestCallerThatClosesItsSideGetsNoFalseAnswer(t *testing.T) {
	reached, release := make(chan bool, 1), make(chan struct{})
	defer close(release)
	f := fleettest.Start(t, fleettest.Options{Instances: 1, ServiceHandler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/load" {
			reached <- true
			<-release
		}
	})})
	conn, err := net.Dial("tcp", f.Nodes[0].Settings.CallerAddr)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = fmt.Fprintf(conn, "GET /v1/services/orders/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", fleettest.APIKey)
	require.NoError(t, err)
	<-reached
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		require.NotEqual(t, http.StatusOK, res.StatusCode)
	}
}

// Guards against callers that don't know for how long a connection stays open, whose requests cross its close and get no
// answer.
func TestResponsesAnnounceTheIdleTimeout(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Instances: 1, ServiceHandler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Keep-Alive", "timeout=1")
	})})
	for _, path := range []string{"/v1/services/orders/x", "/none"} {
		for _, closes := range []bool{false, true} {
			r, err := http.NewRequest("GET", "http://"+f.Nodes[0].Settings.CallerAddr+path, nil)
			require.NoError(t, err)
			r.Header.Set("Authorization", "Bearer "+fleettest.APIKey)
			r.Close = closes
			res, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			require.NoError(t, res.Body.Close())
			want := []string{fmt.Sprintf("timeout=%d", f.Nodes[0].Settings.IdleTimeout/time.Second)}
			if closes {
				want = nil
			}
			require.Equal(t, want, res.Header.Values("Keep-Alive"), path)
		}
	}
}

// Guards against a request without an answer that arrives while the process is suspended: when it goes on, the idle timeout of
// the connection has passed too.
func TestRequestThatArrivesDuringASuspensionIsAnswered(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{
		Instances: 1, ServiceHandler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		AdjustSettings: func(s *settings.Settings) { s.IdleTimeout = 200*time.Millisecond - httputil.IdleSlack },
	})
	conn, err := net.Dial("tcp", f.Nodes[0].Settings.CallerAddr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	request := fmt.Sprintf("GET /v1/services/orders/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", fleettest.APIKey)
	// The script sends the second request on the connection.
	suspend := exec.Command("sh", "-c", `read go; kill -STOP $PPID; sleep 0.4; printf %s "$REQUEST" >&3; kill -CONT $PPID`)
	suspend.Env = append(os.Environ(), "REQUEST="+request)
	file, err := conn.(*net.TCPConn).File()
	require.NoError(t, err)
	suspend.ExtraFiles = []*os.File{file}
	stdin, err := suspend.StdinPipe()
	require.NoError(t, err)
	require.NoError(t, suspend.Start())
	require.NoError(t, file.Close())

	reader := bufio.NewReader(conn)
	_, err = io.WriteString(conn, request)
	require.NoError(t, err)
	for n := range 2 {
		res, err := http.ReadResponse(reader, nil)
		require.NoError(t, err, "request %d", n)
		_, err = io.Copy(io.Discard, res.Body)
		require.NoError(t, err)
		if n == 0 {
			_, err = io.WriteString(stdin, "go\n")
			require.NoError(t, err)
			require.NoError(t, suspend.Wait())
		}
	}
}
