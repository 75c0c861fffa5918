package capacity

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
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
