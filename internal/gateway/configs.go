package gateway

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/peer"
	"github.com/bilberrywell/bilberrywell/internal/router"
	"github.com/bilberrywell/bilberrywell/internal/upstream"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

func (o Options) routerConfig(s Settings) router.Config {
	return router.Config{
		// The peer address identifies an instance among its peers, because it is all that is known of seeds.
		Instance:     fleet.InstanceID(s.PeerAddr),
		DataCentre:   s.DataCentre,
		Seeds:        s.Seeds,
		StoreDecoder: o.StoreDecoder,
		RetryRatio:   s.RetryRatio,
		RetryReserve: s.RetryReserve,
		RetryWindow:  s.RetryWindow,
		DrainWait:    s.DrainWait,
		DrainLimit:   max(s.StopGrace-exitMargin-answerMargin, time.Millisecond),
		LoadFactor:   loadMargin * s.LoadLimit,
		Forecast:     s.Forecast,
		LoadControl:  o.loadControl(s),

		WarmUpOvershoot: s.WarmUpOvershoot,
		WarmUpSlack:     s.WarmUpSlack,
	}
}

// loadMargin keeps an engine below the load limit although the loads of other instances arrive with a
// delay.
const loadMargin = 0.75

func (g *Gateway) peerConfig() peer.Config {
	return peer.Config{
		Self: wire.Hello{
			Instance:    fleet.InstanceID(g.settings.PeerAddr),
			Incarnation: g.incarnation,
			DataCentre:  g.settings.DataCentre,
			Region:      g.settings.Region,
			Release:     g.options.Release,
			Addr:        g.settings.PeerAddr,
		},
		Secret:  g.settings.FleetSecret,
		Budget:  peerBudget,
		Dial:    upstream.NewDialer(peerDialTimeout).DialContext,
		Metrics: g.metrics.set,
		OnMessage: func(from fleet.InstanceID, incarnation uint64, m wire.Message) {
			g.enqueue(router.PeerMessage{From: from, Incarnation: incarnation, Message: m})
		},
		OnUp: func(hello wire.Hello) {
			g.engineDialer.PeerUp(hello.Instance, hello.Addr)
			g.enqueue(router.PeerUp{Instance: hello.Instance, Incarnation: hello.Incarnation, Addr: hello.Addr, DataCentre: hello.DataCentre})
		},
		OnDown: func(instance fleet.InstanceID, incarnation uint64) {
			g.engineDialer.PeerDown(instance)
			g.enqueue(router.PeerDown{Instance: instance, Incarnation: incarnation})
		},
	}
}

// peerDialTimeout bounds the time to open a connection to a peer.
const peerDialTimeout = time.Second
