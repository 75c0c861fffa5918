//go:build review

package main

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
)

const (
	configApply = 2 * time.Second
	// revokedKey is taken away by the second configuration.
	revokedKey = "key0-0"
	// lostGateways are lost at once: 4 of 7. One is back after firstBack, the others after lastBack.
	lostGateways = 4
	firstBack    = 750 * time.Millisecond
	lastBack     = 3200 * time.Millisecond
)

// laggingConfiguration loses the instances that read the store just before the operator takes a key away. One of them
// is back soon. It checks that the instances that nothing happened to refuse the key after config_apply_ms.
func laggingConfiguration(b *bed) (bool, error) {
	for range 4 {
		if _, err := b.addEngine("desk", false); err != nil {
			return false, err
		}
	}
	b.publish(func(tenant int) []string {
		return []string{fmt.Sprintf("key%d-0", tenant), fmt.Sprintf("key%d-1", tenant)}
	})
	if err := b.startGateways(7); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	order := b.readers()
	lost, calm := order[:lostGateways], order[lostGateways:]
	var acknowledged time.Time
	var results sync.Map
	var clients sync.WaitGroup
	end := time.Now().Add(9 * time.Second)
	for i, g := range calm {
		for c := range 2 {
			clients.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					id := fmt.Sprintf("r-%d-%d-%d", i, c, n)
					results.Store(id, b.send(g, "GET", "/stock/item", id, revokedKey, "", 600*time.Millisecond))
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	if b.trouble {
		for _, g := range lost {
			g.signal(syscall.SIGSTOP)
			b.note("%s loses power", g.name)
		}
	}
	time.Sleep(10 * time.Millisecond)
	acknowledged = b.publish(func(tenant int) []string { return []string{fmt.Sprintf("key%d-1", tenant)} })
	b.note("the store has acknowledged version %d, which takes %s away", b.version, revokedKey)
	if b.trouble {
		for i, g := range lost {
			delay := lastBack
			if i == 0 {
				delay = firstBack
			}
			clients.Go(func() {
				time.Sleep(delay)
				g.kill()
				if err := g.start(); err == nil {
					b.note("%s starts again", g.name)
				}
			})
		}
	}
	clients.Wait()
	return b.checkRevoked(&results, acknowledged), nil
}

// readers returns the gateways in the order in which they read the store for the others.
func (b *bed) readers() []*gateway {
	score := func(g *gateway) float64 { return affinity.Score(fleet.Hash("watchers"), affinity.Seed(g.peer), 1) }
	return slices.SortedFunc(slices.Values(b.gateways), func(x, y *gateway) int { return cmp.Compare(score(y), score(x)) })
}

// checkRevoked reports whether an engine ran a request with the revoked key that was sent later than configApply after
// the acknowledgement.
func (b *bed) checkRevoked(results *sync.Map, acknowledged time.Time) bool {
	ran, broken, late := b.runs("desk"), 0, 0
	var last time.Duration
	results.Range(func(id, value any) bool {
		a := value.(answer)
		after := a.sent.Sub(acknowledged)
		if after <= configApply {
			return true
		}
		late++
		if a.served() && ran[id.(string)] {
			broken++
			last = max(last, after)
			b.record.line(a.sent, "BROKEN %s was run %d ms after the acknowledgement", id, after.Milliseconds())
		}
		return true
	})
	b.note("of %d requests with the revoked key sent over %v after the acknowledgement, %d were run, the last one sent %d ms after it",
		late, configApply, broken, last.Milliseconds())
	return broken > 0
}
