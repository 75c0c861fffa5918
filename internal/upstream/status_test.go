package upstream_test

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/upstream"
)

// Guards against a response whose status is no final HTTP status that is taken for the answer.
func TestStatusThatIsNoHTTPStatus(t *testing.T) {
	const rest = "\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		raw, want string
	}{
		"000":                       {"HTTP/1.1 000 Trouble" + rest, ""},
		"000 without a length":      {"HTTP/1.1 000 Trouble\r\nId: mine\r\n\r\nok", ""},
		"000 in chunks":             {"HTTP/1.1 000 Trouble\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ""},
		"000 without a reason":      {"HTTP/1.1 000" + rest, ""},
		"000 of HTTP/1.0":           {"HTTP/1.0 000 Trouble" + rest, ""},
		"001":                       {"HTTP/1.1 001 Trouble" + rest, ""},
		"099":                       {"HTTP/1.1 099 Trouble" + rest, ""},
		"600":                       {"HTTP/1.1 600 Trouble" + rest, ""},
		"600 without an id":         {"HTTP/1.1 600 Trouble\r\nContent-Length: 2\r\n\r\nok", ""},
		"999":                       {"HTTP/1.1 999 Trouble" + rest, ""},
		"with a sign":               {"HTTP/1.1 +20 OK" + rest, ""},
		"negative":                  {"HTTP/1.1 -20 OK" + rest, ""},
		"two digits":                {"HTTP/1.1 20 OK" + rest, ""},
		"four digits":               {"HTTP/1.1 2000 OK" + rest, ""},
		"letters":                   {"HTTP/1.1 2xx OK" + rest, ""},
		"none":                      {"HTTP/1.1" + rest, ""},
		"interim only":              {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints" + rest, ""},
		"000 after an interim one":  {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Trouble" + rest, ""},
		"unrequested upgrade":       {"HTTP/1.1 101 Switching Protocols\r\nId: mine\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n" + ownResponse, ""},
		"101 without an upgrade":    {"HTTP/1.1 101 Switching Protocols\r\n\r\n" + ownResponse, ""},
		"lowest":                    {"HTTP/1.1 200 OK" + rest, "ok"},
		"highest":                   {"HTTP/1.1 599 Trouble" + rest, "ok"},
		"199 before the final one":  {"HTTP/1.1 199 Soon\r\n\r\n" + ownResponse, "ok"},
		"000 to another request":    {"HTTP/1.1 000 Trouble\r\nId: other\r\nContent-Length: 3\r\n\r\nbad" + ownResponse, "ok"},
		"final one after some 1xx":  {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + ownResponse, "ok"},
		"000 of an unknown request": {"HTTP/1.1 000 Trouble\r\nContent-Length: 3\r\n\r\nbad", ""},
	} {
		t.Run(name, func(t *testing.T) {
			addr := startEngine(t, func(conn net.Conn, r *bufio.Reader) {
				if readRequest(r) {
					_, _ = io.WriteString(conn, c.raw)
				}
			})
			p := upstream.NewPool(nil)
			defer p.Close()
			got, err := exchange(t, p, addr, 3)
			require.Equal(t, c.want, got)
			if c.want != "" {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, upstream.ErrBroken)
			require.NotErrorIs(t, err, upstream.ErrUnsent)
			require.Zero(t, p.IdleCount())
		})
	}
}
