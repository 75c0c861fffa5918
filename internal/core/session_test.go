package core_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/harness"
)

var update = flag.Bool("update", false, "write the golden files")

// sessionFleet starts three instances, three chat engines and one order engine.
func sessionFleet() *harness.Harness {
	h := harness.New(harness.Config{Seed: 3, Tick: 20 * time.Millisecond})
	var chats []harness.EngineRow
	for i := range 3 {
		id := fleet.EngineID(fmt.Sprintf("chat-%d", i))
		h.AddEngine(id, harness.EngineConfig{
			Prefill: 100 * time.Millisecond, CachedPrefill: 20 * time.Millisecond,
			PerToken: 10 * time.Millisecond, CacheChats: 100,
		})
		chats = append(chats, harness.EngineRow{ID: id, DataCentre: "dc", Region: "r", Slots: 8, Flags: "kv_transfer: true"})
	}
	h.AddEngine("order-0", harness.EngineConfig{PerToken: 10 * time.Millisecond})
	orders := []harness.EngineRow{{ID: "order-0", DataCentre: "dc", Region: "r", Slots: 8}}
	h.PublishNow(map[string][]byte{
		"team/chat.yaml":      harness.ServiceFile{ID: "chat", Engines: chats}.YAML(),
		"team/orders.yaml":    harness.ServiceFile{ID: "orders", Plain: true, Engines: orders}.YAML(),
		"team/customers.yaml": harness.Customers(2, 100),
	})
	for i := range 3 {
		h.AddNode(fleet.InstanceID(fmt.Sprintf("node-%d", i)), "dc", "r")
	}
	h.Run(8 * time.Second)
	return h
}

// transcript lists the records of each instance from the given time on, in order of time.
func transcript(h *harness.Harness, from time.Duration) string {
	var b strings.Builder
	for _, n := range h.Nodes {
		fmt.Fprintf(&b, "== %s\n", n.ID)
		for _, r := range n.Records {
			if r.At < from {
				continue
			}
			fmt.Fprintf(&b, "%9.3fs %s", (r.At - from).Seconds(), r.Kind)
			if r.Request != 0 {
				fmt.Fprintf(&b, " request=%d", r.Request)
			}
			if r.Engine != "" {
				fmt.Fprintf(&b, " engine=%s", r.Engine)
			}
			if r.Detail != "" {
				fmt.Fprintf(&b, " (%s)", r.Detail)
			}
			b.WriteByte('\n')
		}
	}
	return b.String()
}

// TestGoldenSessions guards against unintended changes of decisions. Each golden file holds
// all records of three instances in one session, most of them with one kind of fault.
func TestGoldenSessions(t *testing.T) {
	sessions := []struct {
		name string
		run  func(h *harness.Harness)
	}{
		{"returning_chat", func(h *harness.Harness) {
			for i := range 3 {
				h.Submit(h.Nodes[i], harness.ChatCall("c0", "chat", "a"), 10)
				h.Run(time.Second)
			}
		}},
		{"engine_crash", func(h *harness.Harness) {
			for i := range 30 {
				h.Submit(h.Nodes[i%3], harness.ChatCall("c0", "chat", fmt.Sprint(i)), 10)
				h.Run(100 * time.Millisecond)
			}
			call := h.Submit(h.Nodes[0], harness.ChatCall("c0", "chat", "long"), 100)
			h.Run(300 * time.Millisecond)
			for _, e := range h.Engines {
				if call.Runs > 0 && e.InFlight() > 0 {
					e.Crash()
				}
			}
			h.Run(4 * time.Second)
		}},
		{"order_resent", func(h *harness.Harness) {
			h.Submit(h.Nodes[0], harness.OrderCall("c1", "orders", "k"), 20)
			h.Run(50 * time.Millisecond)
			h.Submit(h.Nodes[1], harness.OrderCall("c1", "orders", "k"), 20)
			h.Run(2 * time.Second)
			h.Submit(h.Nodes[2], harness.OrderCall("c1", "orders", "k"), 20)
			h.Run(time.Second)
		}},
		{"home_killed", func(h *harness.Harness) {
			h.Submit(h.Nodes[0], harness.ChatCall("c0", "chat", "a"), 300)
			h.Run(500 * time.Millisecond)
			h.Nodes[2].Kill()
			h.Store.SetListed(h.Nodes[2], false, false)
			h.Run(8 * time.Second)
		}},
		{"instance_drained", func(h *harness.Harness) {
			h.Submit(h.Nodes[1], harness.ChatCall("c0", "chat", "a"), 300)
			h.Run(500 * time.Millisecond)
			h.Nodes[1].Step(core.DrainRequested{})
			h.Run(6 * time.Second)
		}},
	}
	for _, s := range sessions {
		t.Run(s.name, func(t *testing.T) {
			h := sessionFleet()
			from := h.Now()
			s.run(h)
			require.Empty(t, h.Violations())
			got := transcript(h, from)
			path := filepath.Join("testdata", s.name+".golden")
			if *update {
				require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
			}
			want, err := os.ReadFile(path)
			require.NoError(t, err)
			require.Equal(t, string(want), got)
		})
	}
}

// Guards against a planned stop that is already active when it is published and whose engine's
// cached chats are not moved.
func TestActiveStopMovesWarmChats(t *testing.T) {
	h := sessionFleet()
	for i := range 20 {
		h.Submit(h.Nodes[i%3], harness.ChatCall("c0", "chat", fmt.Sprint(i)), 5)
		h.Run(100 * time.Millisecond)
	}
	h.Run(3 * time.Second)
	file := fmt.Sprintf("stops:\n  - {engine: chat-0, at: %q, for: 1h}\n", h.WallTimeAt(h.Now()-time.Minute).Format(time.RFC3339))
	h.StartPublish("stop", "stops/", map[string][]byte{"stops/stop.yaml": []byte(file)})
	h.Run(5 * time.Second)
	moved := uint64(0)
	for _, n := range h.Nodes {
		moved += n.Counters[core.CounterChatsMoved]
	}
	require.Positive(t, moved)
}
