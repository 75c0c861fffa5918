package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Guards against placements that grow without limit, and against the loss of the placement
// of a chat that is still in use.
func TestPlacementsAreBoundedAndKeepActiveChats(t *testing.T) {
	var p placements
	p.init()
	p.add("first", 1, "other")
	for chat := range fleet.ChatKey(10 * maxPlacementsPerGeneration) {
		p.add("first", chat+2, "other")
		if chat%1000 == 0 {
			require.Equal(t, fleet.EngineID("other"), p.find("first", 1))
		}
	}
	set := p.byFirst["first"]
	require.LessOrEqual(t, len(set.recent)+len(set.old), 2*maxPlacementsPerGeneration)
	require.Empty(t, p.find("first", 2))
	require.Empty(t, p.find("second", 1))
}

// Guards against load announcements that exceed their share of the control budget, or that
// use less than 95% of it.
func TestLoadBudgetHoldsItsRate(t *testing.T) {
	var b loadBudget
	sent := 0.0
	for now := time.Duration(0); now < 10*time.Second; now += 20 * time.Millisecond {
		b.refill(now, 4096)
		if b.credit > 0 {
			b.credit -= 300
			sent += 300
		}
	}
	require.LessOrEqual(t, sent, 10*4096+300.0)
	require.GreaterOrEqual(t, sent, 9.5*4096)
}
