//go:build review

package main

import (
	"crypto/rand"
	"fmt"
	"time"
)

const (
	// Another writer puts batches times batchEntries entries of oddEntryBytes, one batch every batchGap.
	batches, batchEntries = 3, 9
	batchGap              = 4 * time.Second
	// historyTime is how long the store keeps its history (history_s), deafTime how long the key is tried.
	historyTime = 20 * time.Second
	deafTime    = 25 * time.Second
)

// deafReaders writes entries that can't be read, and then takes a key away. It checks that all instances refuse the key
// after config_apply_ms.
func deafReaders(b *bed) (bool, error) {
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
	for n := range batches {
		if !b.trouble {
			break
		}
		for i := range batchEntries {
			value := make([]byte, oddEntryBytes)
			if _, err := rand.Read(value); err != nil {
				return false, err
			}
			b.store.putOdd(fmt.Sprintf(oddPrefix+"%d-%d", n, i), value)
		}
		b.note("another writer puts %d entries of %d bytes that can't be read", batchEntries, oddEntryBytes)
		time.Sleep(batchGap)
	}
	// The store drops its history of the last batch.
	forget := time.AfterFunc(historyTime-batchGap, b.store.Compact)
	defer forget.Stop()
	b.publish(func(tenant int) []string { return []string{fmt.Sprintf("key%d-1", tenant)} })
	acknowledged := time.Now()
	b.note("the store has acknowledged version %d, which takes %s away", b.version, revokedKey)
	return b.checkKey(0, revokedKey, acknowledged, deafTime), nil
}
