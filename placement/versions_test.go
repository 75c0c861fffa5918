package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/placement"
)

// Guards against a stream that goes on at an engine of another version because those of its own are full, failing or gone.
func TestOnlyEnginesOfItsVersionGetTheRestOfAStream(t *testing.T) {
	p := pool(0)
	list := engines(6)
	for i := range list {
		list[i].Version = fleet.EngineVersion([]string{"v1", "v2", "v2"}[i%3])
	}
	p.SetEngines(0, list)
	v1, gone := fleet.EngineVersion("v1"), fleet.EngineVersion("v0")
	for key := range uint64(50) {
		request := placement.Request{Key: key, OnlyVersion: &v1}
		c := choose(t, p, 0, request)
		require.Equal(t, v1, c.Engine.Version)
		request.Exclude = []fleet.EngineID{c.Engine.ID}
		require.Equal(t, v1, choose(t, p, 0, request).Engine.Version)
		request.Exclude = []fleet.EngineID{"e0", "e3"}
		_, ok := p.Choose(0, request)
		require.False(t, ok, "both have had it")
		_, ok = p.Choose(0, placement.Request{Key: key, OnlyVersion: &gone})
		require.False(t, ok)
	}
	p.Failed(time.Second, "e0", placement.Unreachable, 0)
	p.Failed(time.Second, "e3", placement.Unreachable, 0)
	c := choose(t, p, time.Second, placement.Request{Key: 7, OnlyVersion: &v1})
	require.Equal(t, placement.LastResort, c.Reason)
	require.Equal(t, v1, c.Engine.Version)
	require.True(t, p.Offers(v1))
	require.False(t, p.Offers(gone))
}
