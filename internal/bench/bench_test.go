package bench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/harness"
)

func smallPlan(policy string) plan {
	d := deployment{name: "small", instances: 3, engines: 4, customers: 3, dataCentres: 2}
	return plan{deployment: d, policy: policy, seed: 5, load: 0.6, warmUp: 20 * time.Second, measureTime: 40 * time.Second, churn: true}
}

// Guards against figures that depend on anything but the seed, and against policies that lose
// requests of the trace.
func TestSessionsAreDeterministicAndComplete(t *testing.T) {
	for _, policy := range policies {
		first, second := runSession(smallPlan(policy)), runSession(smallPlan(policy))
		require.Equal(t, first.queueTime, second.queueTime, policy)
		require.Equal(t, first.cacheReuse, second.cacheReuse, policy)
		require.Equal(t, first.totalBytes, second.totalBytes, policy)
		for i, call := range first.calls {
			require.NotNil(t, call, "%s: request %d", policy, i)
			require.Equal(t, harness.Complete, call.Result, policy)
		}
	}
}

// Guards against a surge that changes the requests of the other customers: sessions with and
// without it could then not be compared.
func TestSurgeLeavesOthersAlone(t *testing.T) {
	c := traceConfig{seed: 3, customers: 4, rate: 20, end: time.Minute}
	plain := newTrace(c)
	c.surge = &surge{customer: 1, from: 10 * time.Second, to: 20 * time.Second, factor: 10}
	var rest []arrival
	for _, a := range newTrace(c) {
		if len(a.chat) < 5 || a.chat[:5] != "surge" {
			rest = append(rest, a)
		}
	}
	require.Equal(t, plain, rest)
	c.surge.factor = 1
	require.Equal(t, plain, newTrace(c))
}

// Guards against an oracle that exceeds the load bound, whose figures would be a false reference.
func TestOracleKeepsTheBound(t *testing.T) {
	r := runSession(smallPlan(policyOracle))
	require.Zero(t, r.shareAboveBound)
	require.LessOrEqual(t, r.worstRatio, 1.0)
	require.Positive(t, r.cacheReuse)
}
