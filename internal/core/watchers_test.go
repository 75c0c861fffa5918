package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/harness"
	"github.com/bilberrywell/bilberrywell/revision"
)

// publishBound is the time within which a published configuration must be in force.
const publishBound = 4 * time.Second

// Guards against a fleet that keeps an old configuration because the instances that watch the platform for the others
// are lost without a word: without power, or frozen.
func TestPublishedFilesAreInForceWhenAllWatchersAreLost(t *testing.T) {
	h := harness.New(harness.Config{Seed: 5, Tick: 20 * time.Millisecond})
	files := func(rate float64) map[string][]byte {
		return map[string][]byte{"team/customers.yaml": harness.Customers(2, rate)}
	}
	h.PublishNow(files(100))
	for i := range 9 {
		h.AddNode(fleet.InstanceID(fmt.Sprintf("node-%d", i)), "dc", "r")
	}
	h.Run(20 * time.Second)
	for round := range 3 {
		var lost []*harness.Node
		require.True(t, h.RunUntil(10*time.Second, func() bool {
			lost = h.Store.Watchers(revision.HeadKey)
			return len(lost) == 3
		}))
		for _, n := range lost {
			n.Pause(15 * time.Second)
		}
		h.Run(100 * time.Millisecond)
		version := h.PublishNow(files(float64(200 + round)))
		h.Run(publishBound)
		for _, n := range h.Nodes {
			if !slices.Contains(lost, n) {
				require.Equal(t, version, n.Version, "round %d, %s", round, n.ID)
			}
		}
		h.Run(30 * time.Second)
	}
}
