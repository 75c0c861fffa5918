package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/httputil"
	"github.com/bilberrywell/bilberrywell/internal/router"
)

// Guards against links of a large quiet fleet that are closed as silent between two status reports, and against silent
// links of a small one that are kept for long.
func TestQuietLinksOutlastTheStatusReportInterval(t *testing.T) {
	s := DefaultSettings()
	s.Instance, s.PeerAddr = "gw", "127.0.0.1:1"
	g, err := New(Options{Settings: s})
	require.NoError(t, err)
	defer g.peers.Close()
	for _, links := range []int{6, 125, 489} {
		var plan router.SetPeers
		for i := range links {
			id := fmt.Sprintf("127.0.0.2:%d", i+1)
			plan.Peers = append(plan.Peers, router.PeerTarget{ID: fleet.InstanceID(id), Addr: id})
		}
		g.execute(plan)
		require.Greater(t, g.peers.SilenceLimit(), router.StatusReportInterval(links)+time.Second, "%d links", links)
		require.LessOrEqual(t, g.peers.SilenceLimit(), router.StatusReportInterval(links)+3*time.Second, "%d links", links)
	}
}

// acceptRecorder is a listener without connections that records that its server accepts.
type acceptRecorder struct{ accepting, closed chan struct{} }

func (l *acceptRecorder) Accept() (net.Conn, error) {
	close(l.accepting)
	<-l.closed
	return nil, net.ErrClosed
}

func (l *acceptRecorder) Close() error   { return nil }
func (l *acceptRecorder) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against handshakes of a whole fleet's links that delay the first list of a starting instance, against links that
// wait for a store that doesn't answer, and against callers that wait with them.
func TestPeersAreServedAfterTheFirstListOfTheStore(t *testing.T) {
	acceptsAfter := func(t *testing.T, name string, listEndsAfter time.Duration) (after time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			g := &Gateway{ctx: t.Context(), storeTried: newOnceSignal(), clock: newClock(sinceBoot)}
			l := &acceptRecorder{accepting: make(chan struct{}), closed: make(chan struct{})}
			began := time.Now()
			time.AfterFunc(listEndsAfter, g.storeTried.set)
			go g.serve(&httputil.Server{Name: name, Listener: l, HTTP: &http.Server{}})
			<-l.accepting
			after = time.Since(began)
			close(l.closed)
		})
		return after
	}
	require.Equal(t, 40*time.Millisecond, acceptsAfter(t, peerListener, 40*time.Millisecond))
	require.Equal(t, peerServeWait, acceptsAfter(t, peerListener, time.Minute))
	require.Zero(t, acceptsAfter(t, "callers", time.Minute))
}
