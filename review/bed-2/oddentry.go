//go:build review

package main

import (
	"crypto/rand"
	"fmt"
	"sync"
	"time"
)

const (
	// oddEntries is the number of entries that another writer puts among those of the engines, oddEntryBytes their size:
	// below value_bytes.
	oddEntries    = 4
	oddEntryBytes = 1_000_000
	// revocations is the number of keys that are taken away afterwards, one every revocationGap.
	revocations   = 4
	revocationGap = 3500 * time.Millisecond
)

// oddEntry writes entries that can't be read and then takes keys away. It checks that all instances refuse each key
// after config_apply_ms.
func oddEntry(b *bed) (bool, error) {
	for range 4 {
		if _, err := b.addEngine("desk", false); err != nil {
			return false, err
		}
	}
	keys := func(revoked int) func(tenant int) []string {
		return func(tenant int) []string {
			if tenant < revoked {
				return []string{fmt.Sprintf("key%d-1", tenant)}
			}
			return []string{fmt.Sprintf("key%d-0", tenant), fmt.Sprintf("key%d-1", tenant)}
		}
	}
	b.publish(keys(0))
	if err := b.startGateways(7); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	if b.trouble {
		for i := range oddEntries {
			value := make([]byte, oddEntryBytes)
			if _, err := rand.Read(value); err != nil {
				return false, err
			}
			b.store.putOdd(fmt.Sprintf(oddPrefix+"%d", i), value)
		}
		b.note("another writer puts %d entries of %d bytes that can't be read", oddEntries, oddEntryBytes)
	}
	broken := false
	time.Sleep(time.Second)
	for n := range revocations {
		b.publish(keys(n + 1))
		acknowledged := time.Now()
		revoked := fmt.Sprintf("key%d-0", n)
		b.note("the store has acknowledged version %d, which takes %s away", b.version, revoked)
		broken = b.checkKey(n, revoked, acknowledged, revocationGap) || broken
	}
	return broken, nil
}

// checkKey sends requests with a revoked key to all gateways for a time after the acknowledgement, and reports
// whether an engine ran one that was sent later than configApply.
func (b *bed) checkKey(n int, revoked string, acknowledged time.Time, length time.Duration) bool {
	var results sync.Map
	var clients sync.WaitGroup
	for i, g := range b.gateways {
		clients.Go(func() {
			for m := 0; time.Since(acknowledged) < length; m++ {
				id := fmt.Sprintf("k%d-%d-%d", n, i, m)
				results.Store(id, b.send(g, "GET", "/stock/item", id, revoked, "", 600*time.Millisecond))
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return b.checkRevoked(&results, acknowledged)
}
