package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/httputil"
)

// connPair is a caller's connection and the gateway's end of it.
type connPair struct {
	caller net.Conn
	conn   *callerConn
	// idleTimeout is that of the configuration in force, held what the connection held when it ended.
	idleTimeout time.Duration
	held        []string
}

func newConnPair(t *testing.T) *connPair {
	p := &connPair{idleTimeout: time.Minute}
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := newCallerListener(opened, func() time.Duration { return p.idleTimeout }, func() time.Duration { return time.Minute },
		func(_ *callerConn, held string) { p.held = append(p.held, held) })
	p.caller, err = net.Dial("tcp", opened.Addr().String())
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	p.conn = accepted.(*callerConn)
	p.conn.setActive(false)
	t.Cleanup(func() {
		_ = p.caller.Close()
		_ = accepted.Close()
		_ = l.Close()
	})
	return p
}

// send sends bytes and waits until they have arrived.
func (p *connPair) send(t *testing.T, text string) {
	_, err := p.caller.Write([]byte(text))
	require.NoError(t, err)
	require.Eventually(t, p.conn.unread, 5*time.Second, time.Millisecond)
}

func (p *connPair) read(t *testing.T) string {
	b := make([]byte, 100)
	n, err := p.conn.Read(b)
	require.NoError(t, err)
	return string(b[:n])
}

// Guards against requests without an answer of which no line tells where their connection ended and what it held.
func TestEndOfAConnectionTellsWhatItHeld(t *testing.T) {
	for held, prepare := range map[string]func(t *testing.T, p *connPair){
		heldNothing: func(*testing.T, *connPair) {},
		heldUnread:  func(t *testing.T, p *connPair) { p.send(t, "GET / HTTP/1.1\r\n\r\n") },
		heldPart: func(t *testing.T, p *connPair) {
			p.send(t, "GET / HT")
			require.Equal(t, "GET / HT", p.read(t))
		},
		heldRequest: func(_ *testing.T, p *connPair) { p.conn.record.held.Store(&callerRequest{}) },
	} {
		p := newConnPair(t)
		prepare(t, p)
		_ = p.conn.Close()
		_ = p.conn.Close()
		require.Equal(t, []string{held}, p.held)
	}
}

// Guards against a request without an answer that arrives while the process is suspended: when it goes on, the idle timeout of
// the connection has passed too.
func TestRequestThatArrivedBeforeTheIdleTimeoutIsRead(t *testing.T) {
	p := newConnPair(t)
	p.send(t, "GET / HTTP/1.1\r\n\r\n")
	p.idleTimeout = -time.Minute
	require.NoError(t, p.conn.SetReadDeadline(time.Time{}))
	require.Equal(t, "GET / HTTP/1.1\r\n\r\n", p.read(t))
	p.conn.setActive(true)
	p.conn.setActive(false)
	require.NoError(t, p.conn.SetReadDeadline(time.Time{}))
	_, err := p.conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "nothing has arrived")
}

// Guards against a request of which a part was read before the process was suspended for longer than the header timeout, and
// against a caller that sends a byte now and then and so keeps its connection.
func TestRestOfAHeaderThatArrivedBeforeItsTimeoutIsRead(t *testing.T) {
	p := newConnPair(t)
	p.send(t, "GET / HT")
	require.Equal(t, "GET / HT", p.read(t))
	p.send(t, "TP/1.1\r\n\r\n")
	past := func() { require.NoError(t, p.conn.SetReadDeadline(time.Now().Add(-time.Second))) }
	past()
	require.Equal(t, "TP/1.1\r\n\r\n", p.read(t))
	p.send(t, "x")
	past()
	_, err := p.conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against requests without an answer after a configuration with a shorter idle timeout, which cross the close of
// connections whose callers were told a longer one.
func TestIdleTimeoutThatWasAnnouncedHolds(t *testing.T) {
	p := newConnPair(t)
	left := func() time.Duration { return time.Until(p.conn.idleDeadline(time.Time{})) }
	p.idleTimeout = 15 * time.Second
	p.conn.setActive(true)
	require.Equal(t, 15*time.Second, p.conn.announceIdle())
	p.conn.setActive(false)
	p.idleTimeout = time.Second
	require.Greater(t, left(), 15*time.Second)
	p.conn.setActive(true)
	require.Equal(t, time.Second, p.conn.announceIdle())
	p.conn.setActive(false)
	require.LessOrEqual(t, left(), time.Second+httputil.IdleSlack)
}

// brokenProtocol panics when it reads the header of a request that is marked so.
type brokenProtocol struct{ Protocol }

func (brokenProtocol) ReadCall(header http.Header) CallHead {
	if header.Get("Broken") != "" {
		header.Del("Broken")
		panic("broken")
	}
	return CallHead{ID: "r1"}
}

// Guards against requests without an answer of which no line tells that their handler panicked.
func TestPanicOfAHandlerIsCounted(t *testing.T) {
	g := &Gateway{protocol: brokenProtocol{}, metrics: newMetrics(), clock: newClock(sinceBoot)}
	r := httptest.NewRequest("GET", "/x", nil)
	r.Header.Set("Broken", "1")
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { g.serveCall(httptest.NewRecorder(), r) })
	var text strings.Builder
	g.metrics.set.WritePrometheus(&text)
	require.Contains(t, text.String(), "bilberry_handler_panics_total 1")
}
