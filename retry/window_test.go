package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/retry"
)

// Guards against more extra attempts in any window than the bound allows.
func TestWindowKeepsItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := retry.Window{Length: 10 * time.Second, Ratio: 0.2, Reserve: 3}
		type attempt struct {
			at    time.Duration
			extra bool
		}
		var log []attempt
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "attempts") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "extra") {
				if w.Allow(now) {
					log = append(log, attempt{now, true})
				}
				continue
			}
			w.CountFirst(now)
			log = append(log, attempt{now, false})
		}
		// The window advances by a tenth of its length, so the bound holds at least for windows of
		// nine tenths of its length.
		for i, last := range log {
			first, extra := 0, 0
			for _, a := range log[:i+1] {
				if a.extra && last.at-a.at < 9*time.Second {
					extra++
				}
				if !a.extra && last.at-a.at <= 10*time.Second {
					first++
				}
			}
			if last.extra {
				require.LessOrEqual(t, float64(extra), 0.2*float64(first)+3)
			}
		}
	})
}

// Guards against a zero Window that allows an extra attempt.
func TestZeroWindowAllowsNothing(t *testing.T) {
	var w retry.Window
	require.False(t, w.Allow(0))
}
