package daemon_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/fleettest"
)

// Guards against a status that is no final HTTP status that is forwarded as the answer, or that ends the goroutine of the
// request so that neither its caller nor the reducer hears of it: an order that may have run must stay unknown.
func TestStatusThatIsNoHTTPStatus(t *testing.T) {
	const upgrade = "101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c"
	key := []string{"Authorization", "Bearer " + fleettest.APIKey}
	order := append([]string{"Idempotency-Key", "k"}, key...)
	for _, status := range []string{"000 Trouble", "099 Trouble", "+20 OK", "600 Trouble", "999 Trouble", "2xx OK", upgrade} {
		t.Run(status[:3], func(t *testing.T) {
			base := startWithEngine(t, rawEngine(func(c net.Conn, r *http.Request) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok", status, r.Header.Get("X-Attempt-Id"))
			}))
			for _, c := range []struct {
				method, path, body string
				header             []string
			}{
				{http.MethodGet, "/v1/services/orders/x", "", key},
				{http.MethodPost, "/v1/services/orders/orders", "{}", order},
				{http.MethodPost, "/v1/services/orders/orders", "{}", order},
				{http.MethodPost, "/v1/chat/completions", chatBody, key},
				{http.MethodPost, "/v1/chat/completions", strings.Replace(chatBody, "true", "false", 1), key},
			} {
				r, err := http.NewRequest(c.method, base+c.path, strings.NewReader(c.body))
				require.NoError(t, err)
				for i := 0; i < len(c.header); i += 2 {
					r.Header.Set(c.header[i], c.header[i+1])
				}
				response, err := http.DefaultClient.Do(r)
				require.NoError(t, err, "%s %s", c.method, c.path)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				require.Equal(t, http.StatusBadGateway, response.StatusCode, "%s %s", c.method, c.path)
				require.Equal(t, "unknown", response.Header.Get("X-Bilberry-Outcome"), "%s %s", c.method, c.path)
			}
		})
	}
}
