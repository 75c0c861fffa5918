package capacity

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/core"
)

// Guards against a wrong slope, and against residuals that are too small for a bad fit.
func TestFitLine(t *testing.T) {
	exact := FitLine([]Point{{1, 5}, {2, 7}, {4, 11}})
	require.InDelta(t, 2, exact.Slope, 1e-9)
	require.InDelta(t, 3, exact.Intercept, 1e-9)
	require.InDelta(t, 0, exact.RMSResidual, 1e-9)
	bent := FitLine([]Point{{0, 0}, {1, 1}, {2, 4}})
	require.InDelta(t, 2, bent.Slope, 1e-9)
	require.InDelta(t, 0.4714, bent.RMSResidual, 1e-4)
	require.InDelta(t, 2.0/3, bent.MaxRelativeResidual, 1e-9)
}

// Guards against counting the bytes of one direction or kind under another.
func TestParseControlBytes(t *testing.T) {
	got, err := parseControlBytes(strings.NewReader("other 1\n" +
		"bilberry_control_bytes_total{direction=\"sent\",kind=\"heartbeat\"} 12\n" +
		"bilberry_control_bytes_total{direction=\"received\",kind=\"heartbeat\"} 7\n"))
	require.NoError(t, err)
	require.Equal(t, map[string]float64{"sent heartbeat": 12, "received heartbeat": 7}, got)
}

// Guards against measuring a reducer that has no configuration, lacks links, or is home of no engine.
func TestSingleReducerHasTargetShape(t *testing.T) {
	s := newSingleReducer(scaledSizes(98)[0])
	require.Len(t, s.core.Snapshot().Customers, 136)
	linked := 0
	for _, peer := range s.core.Status().Peers {
		if peer.Linked {
			linked++
		}
	}
	// Region 0 has 4 of 13 data centres and 30 of 98 instances.
	require.Equal(t, 29+3*linksPerRegion, linked)
	require.NotEmpty(t, s.findOwnedEngine())
	s.runRequest()
	require.Empty(t, s.started)
}

// Guards against reads of the instance list that use more than their sixth of the control budget,
// and against a large list that is read too rarely to find instances that start at the same time.
func TestListIsReadWithinItsShare(t *testing.T) {
	s := newSingleReducer(scaledSizes(490)[0])
	s.answerList = true
	s.runFor(10 * time.Second)
	require.Greater(t, s.listReads, 4)
	s.runFor(time.Minute)
	s.listReads = 0
	s.runFor(3 * time.Minute)
	// Reading 490 rows of 142 bytes at 2,048 bytes/s takes 34 s, which jitter shortens to 17 s at least.
	require.LessOrEqual(t, s.listReads, 11)
	require.Greater(t, s.listReads, 4)
}

// Guards against a new instance that stays without links to the peers that dial it by rule but have
// not read the list since it started, and against dialing that stops once the link is up.
func TestNewInstanceDialsPeersThatDoNot(t *testing.T) {
	s := newSingleReducer(scaledSizes(98)[0])
	late := s.rows[13]
	late.ID = "instance-"
	s.rows = append(s.rows, late)
	s.step(core.InstanceList{Rows: s.rows[:len(s.rows)-1]})
	require.False(t, s.dialed[late.ID])
	s.step(core.InstanceList{Rows: s.rows})
	require.True(t, s.dialed[late.ID])
	s.peerUp(late)
	s.step(core.InstanceList{Rows: s.rows})
	require.True(t, s.dialed[late.ID])
}
