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
	// presenceTTL is the life of an instance's key without renewal. A dead instance's key only makes
	// its peers dial in vain.
	presenceTTL = 30 * time.Second
	// presenceRetryBase and presenceRetryMax bound the pauses between attempts to write the key.
	presenceRetryBase = 50 * time.Millisecond
	presenceRetryMax  = 5 * time.Second
	// presenceEndTimeout bounds the removal of the key at the end of the process.
	presenceEndTimeout = 150 * time.Millisecond
)

// Presence keeps an instance's own key in the store, by which others find it.
type Presence struct {
	keys Keyspace
	key  string
	// changed wakes Run after Set.
	changed chan struct{}
	// lease is that of the key, 0 before it is granted. Only Announce and Run use it.
	lease LeaseID

	mu    sync.Mutex
	value []byte
	// written tells that the key holds value.
	written bool
}

// NewPresence returns the presence of an instance under a key. Run writes it.
func NewPresence(keys Keyspace, key string, value []byte) *Presence {
	return &Presence{keys: keys, key: key, value: value, changed: make(chan struct{}, 1)}
}

// Set changes the value. Run writes it soon.
func (p *Presence) Set(value []byte) {
	p.mu.Lock()
	p.value, p.written = value, false
	p.mu.Unlock()
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Announce writes the key once, before Run. An instance that announces itself before it first lists
// the others is found by those that list before it, or finds them.
func (p *Presence) Announce(ctx context.Context) error { return p.keep(ctx) }

// Run keeps the key until ctx ends, then removes it. Seed spreads the pauses of instances that
// lost the store together.
func (p *Presence) Run(ctx context.Context, seed uint64) {
	backoff := retry.Backoff{Base: presenceRetryBase, Max: presenceRetryMax}
	random := rand.New(rand.NewPCG(seed, 2))
	for ctx.Err() == nil {
		err := p.keep(ctx)
		switch {
		case err == nil:
			backoff.Reset()
			p.sleep(ctx, presenceTTL/3)
		case errors.Is(err, ErrNotFound):
			p.lease = 0
		default:
			klog.InfoS("presence not renewed", "error", err.Error())
			p.sleep(ctx, backoff.Next(random))
		}
	}
	if p.lease != 0 {
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), presenceEndTimeout)
		defer cancel()
		// Without the end the key lapses by itself.
		_ = p.keys.End(end, p.lease)
	}
}

// keep renews the lease, and writes the key if it does not hold the value.
func (p *Presence) keep(ctx context.Context) error {
	p.mu.Lock()
	value, written := p.value, p.written
	p.mu.Unlock()
	if p.lease != 0 && written {
		return p.keys.Keep(ctx, p.lease)
	}
	if p.lease == 0 {
		granted, err := p.keys.Grant(ctx, presenceTTL)
		if err != nil {
			return err
		}
		p.lease = granted
	}
	if _, err := p.keys.Commit(ctx, Txn{Writes: []Write{{Key: p.key, Value: value, Lease: p.lease}}}); err != nil {
		return err
	}
	p.wrote(value)
	return nil
}

// wrote notes that the key holds value, unless the value has changed since.
func (p *Presence) wrote(value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.written = string(p.value) == string(value)
}

func (p *Presence) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.changed:
	}
}
