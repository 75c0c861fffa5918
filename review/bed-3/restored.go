//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["restored"] = playRestored }

// chatConfig is a configuration with one route of resumable streams.
func chatConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "depot-chat", "host": "depot.example", "prefix": "/chat/", "kind": "streaming", "service": "pool", "timeout_ms": 10000,
			"target_latency_ms": 400, "target_gap_ms": 400, "priority": 0, "max_attempts": 2, "stream_resumption": true,
		}},
		"services": []map[string]any{{"name": "pool", "max_connections": 360, "health_path": "/health"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants":  []map[string]any{{"name": "tenant-1", "api_keys": []string{"key-1"}}},
	}
}

// playRestored: engines of a second version join and serve. Then all machines lose power at the same time, and the store, away for a
// moment, comes back from a copy that is some seconds old. Clients take up their streams again.
func playRestored(b *bed, daemon, dir string) (int, error) {
	b.publish(chatConfig(7))
	for i := range 4 {
		if err := b.addEngine(&engine{id: fmt.Sprintf("old-%d", i+1), service: "pool", version: "1.4.0", zone: "z1", events: 50, interval: 100 * time.Millisecond}); err != nil {
			return notPlayed, err
		}
	}
	if err := b.startGateways(daemon, dir, 3); err != nil {
		return notPlayed, err
	}
	time.Sleep(time.Second)
	b.began = time.Now()
	client := newStreamClient(b, 10*time.Second)
	var l load
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(client, 50*time.Millisecond, 14*time.Second)
	}()
	b.at(3 * time.Second)
	copied := b.store.Copy()
	b.logf("platform: the copy of the store is made")
	for i := range 3 {
		if err := b.addEngine(&engine{id: fmt.Sprintf("new-%d", i+1), service: "pool", version: "1.5.0", zone: "z1", events: 50, interval: 100 * time.Millisecond}); err != nil {
			return notPlayed, err
		}
	}
	b.at(10 * time.Second)
	restore, kill := b.trouble == "1" || b.trouble == "restore", b.trouble == "1" || b.trouble == "kill"
	if restore {
		b.logf("platform: the store is away")
		b.setStoreAway(true)
	}
	if kill {
		b.logf("platform: all machines lose power")
		for _, g := range b.gateways {
			g.Kill()
		}
	}
	time.Sleep(500 * time.Millisecond)
	if restore {
		b.store.Restore(copied)
		b.setStoreAway(false)
		b.logf("platform: the store is back from the copy, %.1f s old", (7500 * time.Millisecond).Seconds())
	}
	if kill {
		for _, g := range b.gateways {
			if err := g.Start(); err != nil {
				return notPlayed, err
			}
		}
		b.logf("platform: all machines are back")
	}
	<-done
	l.wg.Wait()
	n := b.reportStreams(&l)
	return b.conclude(n > 2, "%d streams hold events from engines of two software versions of one service, 2 are allowed", n)
}

// at waits until a time since the beginning.
func (b *bed) at(t time.Duration) { time.Sleep(time.Until(b.began.Add(t))) }
