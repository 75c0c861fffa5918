package gateway

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/samber/oops"

	"github.com/bilberrywell/bilberrywell/internal/httputil"
	"github.com/bilberrywell/bilberrywell/internal/upstream"
)

const (
	// headerTimeout bounds the time to receive a request's header unless a configuration sets less.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's header unless a configuration sets less.
	maxHeaderBytes = 64 << 10
	// defaultIdleTimeout applies to idle caller connections while no configuration sets a timeout.
	defaultIdleTimeout = time.Minute
)

// peerListener is the name of the listener for links of peers.
const peerListener = "peers"

// listen opens the listeners.
func (g *Gateway) listen() ([]*httputil.Server, error) {
	type listener struct {
		name, addr string
		server     *http.Server
	}
	list := []listener{
		{"callers", g.settings.CallerAddr, g.callerHTTPServer},
		{"readiness", g.settings.ReadyAddr, &http.Server{Handler: g.readyHandler(), ReadHeaderTimeout: headerTimeout}},
		{peerListener, g.settings.PeerAddr, &http.Server{Handler: g.peerHandler(), ReadHeaderTimeout: headerTimeout}},
	}
	if g.settings.MetricsAddr != "" {
		list = append(list, listener{"metrics", g.settings.MetricsAddr, &http.Server{Handler: g.metrics.handler(g.stats, g.engineStates, g.where), ReadHeaderTimeout: headerTimeout}})
	}
	var servers []*httputil.Server
	for _, l := range list {
		config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}}
		if l.name == peerListener {
			config = upstream.ListenConfig()
		}
		opened, err := config.Listen(context.Background(), "tcp", l.addr)
		if err != nil {
			httputil.CloseListeners(servers)
			return nil, oops.In("gateway").With("listener", l.name).Wrapf(err, "listen on %s", l.addr)
		}
		if l.name == "callers" {
			g.callerListener = newCallerListener(opened, g.idleTimeout, g.headerTimeout, g.connEnded)
			opened = g.callerListener
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
		ConnContext:                  httputil.WithConn,
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
		return t.Limits.IdleTimeout
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
