package harness

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// newSmallFleet starts three instances, four chat engines and one order engine, and waits
// until all instances are ready.
func newSmallFleet(t *testing.T, seed uint64) *Harness {
	h := New(Config{Seed: seed})
	var rows []EngineRow
	for i := range 4 {
		id := fleet.EngineID(fmt.Sprintf("e%d", i))
		h.AddEngine(id, EngineConfig{Prefill: 200 * time.Millisecond, CachedPrefill: 40 * time.Millisecond, PerToken: 10 * time.Millisecond, CacheChats: 1000})
		rows = append(rows, EngineRow{ID: id, DataCentre: "dc0", Region: "r", Slots: 16})
	}
	orders := []EngineRow{{ID: "o0", DataCentre: "dc0", Region: "r", Slots: 16}}
	h.AddEngine("o0", EngineConfig{PerToken: 10 * time.Millisecond})
	h.PublishNow(map[string][]byte{
		"chat.yaml":      ServiceFile{ID: "chat", Engines: rows}.YAML(),
		"orders.yaml":    ServiceFile{ID: "orders", Plain: true, Engines: orders}.YAML(),
		"customers.yaml": Customers(3, 1000),
	})
	for i := range 3 {
		h.AddNode(fleet.InstanceID(fmt.Sprintf("n%d", i)), "dc0", "r")
	}
	require.True(t, h.RunUntil(10*time.Second, func() bool {
		for _, n := range h.Nodes {
			if !n.Ready {
				return false
			}
		}
		return true
	}))
	return h
}

// Guards against sessions that depend on anything but their seed, and against fakes that lose
// requests.
func TestSessionIsDeterministic(t *testing.T) {
	session := func() string {
		h := newSmallFleet(t, 7)
		h.Run(8 * time.Second)
		for i := range 200 {
			n := h.Nodes[i%3]
			h.Submit(n, ChatCall("c0", "chat", fmt.Sprint(i%40)), 20)
			if i%10 == 0 {
				h.Submit(n, OrderCall("c1", "orders", fmt.Sprint(i)), 5)
			}
			h.Run(20 * time.Millisecond)
		}
		h.Run(10 * time.Second)
		out := ""
		for _, call := range h.Calls {
			require.Equal(t, Complete, call.Result, call.Code)
			out += fmt.Sprint(call.End, call.Cached, ";")
		}
		return out + fmt.Sprint(h.PeerTraffic.TotalBytes(), h.Events)
	}
	require.Equal(t, session(), session())
}
