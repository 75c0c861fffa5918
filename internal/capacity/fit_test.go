package capacity

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/core"
)

// Guards against a wrong slope or a residual that hides a bad fit.
func TestFitLine(t *testing.T) {
	exact := FitLine([]Point{{1, 5}, {2, 7}, {4, 11}})
	require.InDelta(t, 2, exact.Slope, 1e-9)
	require.InDelta(t, 3, exact.Intercept, 1e-9)
	require.InDelta(t, 0, exact.Residual, 1e-9)
	bent := FitLine([]Point{{0, 0}, {1, 1}, {2, 4}})
	require.InDelta(t, 2, bent.Slope, 1e-9)
	require.InDelta(t, 0.4714, bent.Residual, 1e-4)
	require.InDelta(t, 2.0/3, bent.Largest, 1e-9)
}

// Guards against counters of one direction or kind that are added to another.
func TestParseControlBytes(t *testing.T) {
	got, err := parseControlBytes(strings.NewReader("other 1\n" +
		"bilberry_control_bytes_total{direction=\"sent\",kind=\"heartbeat\"} 12\n" +
		"bilberry_control_bytes_total{direction=\"received\",kind=\"heartbeat\"} 7\n"))
	require.NoError(t, err)
	require.Equal(t, map[string]float64{"sent heartbeat": 12, "received heartbeat": 7}, got)
}

// Guards against a measured reducer that lacks its links, its configuration or its homes.
func TestSoloHasTargetShape(t *testing.T) {
	s := newSolo(growing(98)[0])
	require.Len(t, s.core.Snapshot().Customers, 136)
	linked := 0
	for _, peer := range s.core.Status().Peers {
		if peer.Linked {
			linked++
		}
	}
	// Region 0 has 4 of 13 data centres and 30 of 98 instances.
	require.Equal(t, 29+3*linksPerRegion, linked)
	require.NotEmpty(t, s.owned())
	s.request()
	require.Empty(t, s.started)
}

// Guards against reads of the list that outgrow their sixth of the control budget, and
// against a large list that keeps instances of one start from being found.
func TestListIsReadWithinItsShare(t *testing.T) {
	s := newSolo(growing(490)[0])
	s.answerList = true
	s.run(10 * time.Second)
	require.Greater(t, s.listReads, 4)
	s.run(time.Minute)
	s.listReads = 0
	s.run(3 * time.Minute)
	// 490 rows of 142 bytes at 2,048 bytes/s are 34 s, jittered down to 17 s.
	require.LessOrEqual(t, s.listReads, 11)
	require.Greater(t, s.listReads, 4)
}

// Guards against a new instance that stays without links to those that dial by rule but have
// not read the list since, and against a dial that ends when the link is up.
func TestNewInstanceDialsPeersThatDoNot(t *testing.T) {
	s := newSolo(growing(98)[0])
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
