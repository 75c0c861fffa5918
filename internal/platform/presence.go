package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/retry"
)

const (
	// presenceTTL is the time after which an instance's key expires without renewal. As long as the key of
	// a dead instance remains, its peers try in vain to connect to it, which is the only harm.
	presenceTTL = 30 * time.Second
	// presenceRetryBase and presenceRetryMax are the bounds of the backoff between attempts to write
	// or renew the key.
	presenceRetryBase = 50 * time.Millisecond
	presenceRetryMax  = 5 * time.Second
	// presenceEndTimeout is the timeout of the key's removal at the end of Run.
	presenceEndTimeout = 150 * time.Millisecond
)

// Presence maintains an instance's own key in the store, by which other instances discover it.
type Presence struct {
	keyspace Keyspace
	key      string
	// changed wakes Run after Set and Renew.
	changed chan struct{}
	// lease is the key's lease, or zero before one is granted. Only Announce and Run use it.
	lease LeaseID

	mu    sync.Mutex
	value []byte
	// written reports whether the key in the store holds value.
	written bool
}

// NewPresence returns the presence of an instance with its key and value. Announce and Run write them
// to the store.
func NewPresence(keyspace Keyspace, key string, value []byte) *Presence {
	return &Presence{keyspace: keyspace, key: key, value: value, changed: make(chan struct{}, 1)}
}

// Set changes the value. Run writes it to the store.
func (p *Presence) Set(value []byte) {
	p.mu.Lock()
	p.value, p.written = value, false
	p.mu.Unlock()
	p.wake()
}

// Renew makes Run renew the key now. A key that the store has lost is written again.
func (p *Presence) Renew() { p.wake() }

func (p *Presence) wake() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Announce writes the key once, before Run. When every instance announces itself before it first
// lists the others, of two instances that start together at least one finds the other.
func (p *Presence) Announce(ctx context.Context) error { return p.renew(ctx) }

// Run writes and renews the key until ctx ends, then removes it. Seed randomizes the backoff, so that
// instances that lost the store at the same time do not retry at the same time.
func (p *Presence) Run(ctx context.Context, seed uint64) {
	backoff := retry.Backoff{Base: presenceRetryBase, Max: presenceRetryMax}
	rng := rand.New(rand.NewPCG(seed, 2))
	for ctx.Err() == nil {
		err := p.renew(ctx)
		switch {
		case err == nil:
			backoff.Reset()
			p.sleep(ctx, presenceTTL/3)
		case errors.Is(err, ErrNotFound):
			p.lease = LeaseID{}
		default:
			klog.InfoS("instance key not renewed in the store", "error", err.Error())
			p.sleep(ctx, backoff.Next(rng))
		}
	}
	if !p.lease.IsZero() {
		endCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), presenceEndTimeout)
		defer cancel()
		// If this fails, the key expires with its lease.
		_ = p.keyspace.RevokeLease(endCtx, p.lease)
	}
}

// renew renews the lease if the key holds the current value. Otherwise it writes the key, and grants
// its lease first if there is none.
func (p *Presence) renew(ctx context.Context) error {
	p.mu.Lock()
	value, written := p.value, p.written
	p.mu.Unlock()
	if !p.lease.IsZero() && written {
		return p.keyspace.KeepAlive(ctx, p.lease)
	}
	if p.lease.IsZero() {
		granted, err := p.keyspace.GrantLease(ctx, presenceTTL)
		if err != nil {
			return err
		}
		p.lease = granted
	}
	if _, err := p.keyspace.Commit(ctx, Txn{Writes: []Write{{Key: p.key, Value: value, Lease: p.lease}}}); err != nil {
		return err
	}
	p.markWritten(value)
	return nil
}

// markWritten records that the key holds value, unless Set has changed the value since.
func (p *Presence) markWritten(value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.written = string(p.value) == string(value)
}

// sleep returns after d, after Set or Renew, or when ctx ends.
func (p *Presence) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.changed:
	}
}
