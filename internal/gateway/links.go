package gateway

import (
	"sync"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/httputil"
	"github.com/bilberrywell/bilberrywell/internal/peer"
	"github.com/bilberrywell/bilberrywell/internal/router"
)

// silenceSlack is how late a status report may be before its link is closed. Reports are not lost while a link is open,
// but a peer on a busy machine sends them late.
const silenceSlack = 2 * time.Second

// setPeers sets the links to hold. A link to a peer may be silent for as long as the peer waits between two status
// reports, which depends on its number of links: about as many as this instance plans. A link that is closed sooner is
// dialed again, and at 126 instances or more most links of a quiet fleet would open and close all the time.
func (g *Gateway) setPeers(e router.SetPeers) {
	targets := make([]peer.Target, len(e.Peers))
	for i, p := range e.Peers {
		targets[i] = peer.Target(p)
	}
	g.peers.SetSilenceLimit(router.StatusReportInterval(len(targets)) + silenceSlack)
	g.peers.SetTargets(targets)
}

// peerServeWait is the longest time for which a starting instance leaves the links that peers open until its first list
// of the store has ended. A list takes 10 to 50 ms, and a store that doesn't answer is given up after 1.5 s.
const peerServeWait = 500 * time.Millisecond

// serve serves a listener. Peers that open links are served after the first list of the store: in a restart of a whole
// fleet, a hundred handshakes would otherwise take the processor from the list that makes the instance ready. Their
// connections wait in the listener's backlog meanwhile.
func (g *Gateway) serve(s *httputil.Server) {
	if s.Name == peerListener {
		g.storeTried.await(g.ctx.Done(), peerServeWait)
	}
	s.Serve()
}

// onceSignal is an event that happens once.
type onceSignal struct {
	once sync.Once
	done chan struct{}
}

func newOnceSignal() *onceSignal { return &onceSignal{done: make(chan struct{})} }

func (s *onceSignal) set() { s.once.Do(func() { close(s.done) }) }

// await waits until the event has happened or stop is closed, at most for limit.
func (s *onceSignal) await(stop <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-stop:
	case <-timer.C:
	}
}
