//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["upgraded"] = playUpgraded }

const (
	// downTime is how long an engine is down while it is started again, upgradeGap the time between two engines.
	downTime   = 500 * time.Millisecond
	upgradeGap = time.Second
	// entryLag is the time from an engine's start to its first entry. The site files name up to 0.8 s (discovery, lag_ms).
	entryLag = 300 * time.Millisecond
)

// playUpgraded: the engines of a service are started again one after the other under the ids that they had, with a newer software.
func playUpgraded(b *bed, daemon, dir string) (int, error) {
	b.publish(chatConfig(7))
	for i := range 6 {
		if err := b.addEngine(&engine{id: fmt.Sprintf("engine-%d", i+1), service: "pool", version: "1.4.0", zone: "z1", events: 50, interval: 100 * time.Millisecond}); err != nil {
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
	for i, e := range b.engines {
		b.at(4*time.Second + time.Duration(i)*upgradeGap)
		if b.trouble == "0" {
			continue
		}
		e.stop()
		b.logf("engine %s ends", e.id)
		time.Sleep(downTime)
		e.mu.Lock()
		e.version, e.lag = "1.5.0", entryLag
		e.mu.Unlock()
		if err := e.start(); err != nil {
			return notPlayed, err
		}
		b.logf("engine %s serves again, as version 1.5.0", e.id)
	}
	<-done
	l.wg.Wait()
	n := b.reportStreams(&l)
	return b.conclude(n > 2, "%d streams hold events from engines of two software versions of one service, 2 are allowed", n)
}
