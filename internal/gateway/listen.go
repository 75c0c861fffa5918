package gateway

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/samber/oops"

	"github.com/bilberrywell/bilberrywell/internal/httputil"
)

const (
	// headerTimeout bounds the time to receive a request's header unless a configuration sets less.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's header unless a configuration sets less.
	maxHeaderBytes = 64 << 10
	// defaultIdleTimeout applies to idle caller connections while no configuration sets a timeout.
	defaultIdleTimeout = time.Minute
	// idleSlack is added to the configured idle timeout, so that a connection is never closed while a
	// caller that keeps to the timeout sends a request on it.
	idleSlack = 2 * time.Second
)

// listen opens the listeners.
func (g *Gateway) listen() ([]*httputil.Server, error) {
	type listener struct {
		name, addr string
		server     *http.Server
	}
	list := []listener{
		{"callers", g.settings.CallerAddr, g.callerHTTPServer},
		{"readiness", g.settings.ReadyAddr, &http.Server{Handler: g.readyHandler(), ReadHeaderTimeout: headerTimeout}},
		{"peers", g.settings.PeerAddr, &http.Server{Handler: g.peers.Handler(), ReadHeaderTimeout: headerTimeout}},
	}
	if g.settings.MetricsAddr != "" {
		list = append(list, listener{"metrics", g.settings.MetricsAddr, &http.Server{Handler: g.metrics.handler(g.stats), ReadHeaderTimeout: headerTimeout}})
	}
	var servers []*httputil.Server
	for _, l := range list {
		config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}}
		opened, err := config.Listen(context.Background(), "tcp", l.addr)
		if err != nil {
			httputil.CloseListeners(servers)
			return nil, oops.In("gateway").With("listener", l.name).Wrapf(err, "listen on %s", l.addr)
		}
		if l.name == "callers" {
			opened = &callerListener{Listener: opened, idleLimit: g.idleTimeout, headerLimit: g.headerTimeout}
		}
		l.server.ErrorLog = log.New(io.Discard, "", 0)
		servers = append(servers, &httputil.Server{Name: l.name, Listener: opened, HTTP: l.server})
	}
	return servers, nil
}

func (g *Gateway) newCallerServer() *http.Server {
	return &http.Server{
		Handler:                      http.HandlerFunc(g.serveCall),
		ReadHeaderTimeout:            headerTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ConnState: func(c net.Conn, state http.ConnState) {
			if conn, ok := c.(*callerConn); ok {
				conn.setActive(state == http.StateActive)
			}
		},
	}
}

func (g *Gateway) readyHandler() http.Handler {
	mux := httprouter.New()
	mux.GET(g.protocol.ReadinessPath(), func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !g.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// idleTimeout returns how long a caller's connection may be idle by the configuration in force.
func (g *Gateway) idleTimeout() time.Duration {
	if t := g.table.Load(); t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout + idleSlack
	}
	return defaultIdleTimeout
}

// headerTimeout returns how long a caller may take to send a header by the configuration in force.
func (g *Gateway) headerTimeout() time.Duration {
	if t := g.table.Load(); t != nil && t.Limits.HeaderTimeout > 0 {
		return t.Limits.HeaderTimeout
	}
	return headerTimeout
}

// callerListener wraps connections so that their timeouts follow the configuration in force. The
// timeouts of net/http are fixed when the server starts.
type callerListener struct {
	net.Listener
	idleLimit, headerLimit func() time.Duration
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, idleLimit: l.idleLimit, headerLimit: l.headerLimit}, nil
}

type callerConn struct {
	net.Conn
	idleLimit, headerLimit func() time.Duration
	// active reports whether a request's header has arrived and its response is not complete yet.
	active atomic.Bool
}

// setActive records the connection's state. When a request arrives it removes the deadline of the idle
// connection, which would otherwise end that request.
func (c *callerConn) setActive(active bool) {
	if !c.active.Swap(active) && active {
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// SetReadDeadline replaces the timeouts of net/http by the configured ones while no request is active:
// the idle timeout if net/http sets none, and the header timeout if that is shorter.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if !c.active.Load() {
		now := time.Now()
		if t.IsZero() {
			t = now.Add(c.idleLimit())
		} else if limit := now.Add(c.headerLimit()); limit.Before(t) {
			t = limit
		}
	}
	return c.Conn.SetReadDeadline(t)
}
