package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/internal/router"
)

// originWriter writes the origins of streams to the store. The keys of several writes share a lease. The router waits for
// the result of a write before it asks for the next one.
type originWriter struct {
	lease   platform.LeaseID
	granted time.Time
}

// leaseShare is the part of the keys' time for which a lease gets further keys.
const leaseShare = 4

// store writes keys with a lease that lasts for at least their time.
func (w *originWriter) store(g *Gateway, e router.StoreOrigins) {
	ctx, cancel := context.WithTimeout(g.ctx, storeKeyTimeout)
	defer cancel()
	err := w.commit(ctx, g.store, e)
	if errors.Is(err, platform.ErrNotFound) {
		// The lease has ended early, as leases may while the store is unavailable.
		w.lease = platform.LeaseID{}
		err = w.commit(ctx, g.store, e)
	}
	g.step(router.OriginsStored{Err: err})
}

func (w *originWriter) commit(ctx context.Context, store platform.Keyspace, e router.StoreOrigins) error {
	if w.lease.IsZero() || time.Since(w.granted) > e.TTL/leaseShare {
		granted := time.Now()
		lease, err := store.GrantLease(ctx, e.TTL+e.TTL/leaseShare)
		if err != nil {
			return err
		}
		w.lease, w.granted = lease, granted
	}
	txn := platform.Txn{}
	for _, v := range e.Values {
		txn.Writes = append(txn.Writes, platform.Write{Key: v.Key, Value: v.Value, Lease: w.lease})
	}
	_, err := store.Commit(ctx, txn)
	return err
}

// loadOrigins reads the origins of a partition.
func (g *Gateway) loadOrigins(e router.LoadOrigins) {
	ctx, cancel := context.WithTimeout(g.ctx, storeKeyTimeout)
	defer cancel()
	listing, err := g.store.List(ctx, e.Prefix)
	loaded := router.OriginsLoaded{Partition: e.Partition, Err: err}
	for _, f := range listing.Facts {
		loaded.Values = append(loaded.Values, f.Value)
	}
	g.step(loaded)
}
