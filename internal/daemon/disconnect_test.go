package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/fleettest"
)

// Guards against a response that looks complete, or an empty success, for a caller that has closed only its
// sending side.
func TestCallerThatClosesItsSendingSide(t *testing.T) {
	started := make(chan struct{}, 1)
	service := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		if strings.HasSuffix(r.URL.Path, "/part") {
			// More than net/http holds back.
			_, _ = io.WriteString(w, strings.Repeat("h", 50_000))
			_ = http.NewResponseController(w).Flush()
		}
		<-r.Context().Done()
	})
	f := fleettest.Start(t, fleettest.Options{Instances: 1, ServiceHandler: service})
	for _, path := range []string{"part", "none"} {
		t.Run(path, func(t *testing.T) {
			conn, err := net.Dial("tcp", f.Nodes[0].Settings.CallerAddr)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			_, err = fmt.Fprintf(conn, "GET /v1/services/orders/%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", path, fleettest.APIKey)
			require.NoError(t, err)
			<-started
			reader := bufio.NewReader(conn)
			if path == "part" {
				_, err = reader.Peek(1)
				require.NoError(t, err)
			}
			require.NoError(t, conn.(*net.TCPConn).CloseWrite())
			res, err := http.ReadResponse(reader, nil)
			if path == "none" {
				require.ErrorIs(t, err, io.ErrUnexpectedEOF, "%v", res)
				return
			}
			require.NoError(t, err)
			body, err := io.ReadAll(res.Body)
			require.Empty(t, strings.Trim(string(body), "h"))
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}
