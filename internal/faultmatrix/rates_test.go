package faultmatrix

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/harness"
)

const (
	limitedRate  = 20
	limitedBurst = 20
	offeredRate  = 200
)

// TestRateHoldsOverTheFleet guards against two faults, with the platform up and down: a customer
// gets its rate once per instance instead of once for the fleet; and a token bucket whose owner
// grants no tokens asks it again within the same step, in an endless loop.
func TestRateHoldsOverTheFleet(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("platform down %v", down), func(t *testing.T) {
			s := newSession(matrixSeed)
			files := s.files("")
			files["team/limited.yaml"] = fmt.Appendf(nil, "customers:\n  limited: {rate: %d, burst: %d, keys: [%064x]}\n", limitedRate, limitedBurst, 99)
			s.PublishNow(files)
			s.Run(2 * time.Second)
			s.Store.SetDown(down)
			first := len(s.Calls)
			const seconds = 10
			for i := range seconds * offeredRate {
				s.Submit(s.Nodes[i%instances], harness.ChatCall("limited", "chat", fmt.Sprint(i%50)), 5)
				s.Run(time.Second / offeredRate)
			}
			s.Run(5 * time.Second)
			admitted, limited := 0, 0
			for _, c := range s.Calls[first:] {
				switch {
				case c.Result == harness.Complete:
					admitted++
				case c.Code == core.CodeRateLimited:
					limited++
				}
			}
			require.Equal(t, seconds*offeredRate, admitted+limited)
			// Requests may wait for tokens past the end of the offered load.
			require.LessOrEqual(t, admitted, limitedRate*(seconds+2)+limitedBurst)
			require.Greater(t, admitted, limitedRate*seconds*8/10)
		})
	}
}
