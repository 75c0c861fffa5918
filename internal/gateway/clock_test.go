package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a machine whose monotonic clock stood still during a suspension: what it knew before would count as current.
func TestClockCountsSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		booted, suspended := time.Now(), time.Duration(0)
		c := newClock(func() time.Duration { return time.Hour + time.Since(booted) + suspended })
		time.Sleep(time.Second)
		c.noticeSuspension()
		require.Equal(t, time.Second, c.now())
		for _, more := range []time.Duration{3 * time.Second, minSuspension} {
			before, deadline := c.now(), c.at(c.now()+5*time.Second)
			suspended += more
			c.noticeSuspension()
			require.Equal(t, before+more, c.now())
			require.Equal(t, deadline.Add(-more), c.at(before+5*time.Second), "a deadline comes nearer")
		}
		suspended += minSuspension - 1
		c.noticeSuspension()
		require.Equal(t, 4*time.Second+minSuspension, c.now(), "the clocks are read one after the other")
	})
}
