package gateway

import (
	"net/http"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/peer"
	"github.com/bilberrywell/bilberrywell/internal/relay"
	"github.com/bilberrywell/bilberrywell/internal/upstream"
)

// openEnginePaths creates the pool of connections to engines, and what opens them directly, through peers and for peers.
func (g *Gateway) openEnginePaths(seed uint64) {
	g.engineDialer = relay.NewDialer(relay.Config{
		Dial: g.options.DialEngine, Secret: g.settings.FleetSecret, Clock: g.now, Metrics: g.metrics.set, OnChange: g.enginePathChanged,
	}, seed)
	g.engineConns = upstream.NewPool(g.engineDialer.DialContext)
	g.relayServer = &relay.Server{
		Authorized: func(r *http.Request) bool { return peer.HasSecret(r, g.settings.FleetSecret) },
		Serves:     g.engineTakesRequests,
		Dialer:     g.engineDialer,
	}
	g.metrics.set.NewGauge("bilberry_relayed_connections", func() float64 { return float64(g.relayServer.Open()) })
}

// enginePathChanged closes the kept connections when the instance is cut off from engines: they may be dead, and a
// request that is written to a dead one may have run.
func (g *Gateway) enginePathChanged(cutOff bool) {
	if cutOff {
		g.engineConns.Flush()
	}
}

// engineTakesRequests reports whether a registered engine that is not draining has an address.
func (g *Gateway) engineTakesRequests(addr string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.TakesRequestsAt(addr)
}

// peerHandler serves the links and the relay.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, g.peers.Handler())
	mux.Handle("GET "+relay.Path, g.relayServer)
	return mux
}

// awaitNoRelayed waits until the exchanges of peers that this instance relays have ended, at most until the deadline.
func (g *Gateway) awaitNoRelayed(deadline <-chan time.Time) {
	ticker := time.NewTicker(settleTime / 5)
	defer ticker.Stop()
	for g.relayServer.Open() > 0 {
		select {
		case <-ticker.C:
		case <-deadline:
			return
		}
	}
}
