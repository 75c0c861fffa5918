package daemon

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/peer"
	"github.com/bilberrywell/bilberrywell/internal/platform"
)

const (
	// storeTimeout bounds a call to the platform that doesn't wait.
	storeTimeout = time.Second
	// watchSlack is the time that a watch may take longer than it waits.
	watchSlack = 2 * time.Second
)

// execute carries out an effect. It runs on the loop's goroutine and must not block.
func (d *Daemon) execute(effect core.Effect) {
	switch e := effect.(type) {
	case core.Count:
		d.metrics.count(e.Counter, e.N)
	case core.Record:
		d.recordEvent(e)
	case core.StartAttempt:
		d.requests.command(e.Request, e)
	case core.FailRequest:
		d.requests.command(e.Request, e)
	case core.ReplayOutcome:
		d.requests.command(e.Request, e)
	case core.SendMessage:
		d.peers.Send(e.To, e.Message)
	case core.SetPeers:
		d.setPeers(e)
	case core.ConfigInForce:
		d.configInForce(e)
	case core.SetReady:
		d.setReady(e.Ready)
	case core.DrainStarted:
		d.drainOnce.Do(func() { close(d.draining) })
		d.presence.leave()
	case core.Drained:
		close(d.drained)
	default:
		d.executeAsync(effect)
	}
}

// executeAsync carries out an effect that waits for the platform or an engine.
func (d *Daemon) executeAsync(effect core.Effect) {
	switch e := effect.(type) {
	case core.StoreGet:
		d.async(storeTimeout, func(ctx context.Context) core.Event {
			entry, err := d.store.Get(ctx, e.Key)
			return core.StoreReply{Op: e.Op, Entry: entry, Err: storeErr(err)}
		})
	case core.StoreSwap:
		d.async(storeTimeout, func(ctx context.Context) core.Event {
			revision, err := d.store.CompareAndSwap(ctx, e.Key, e.Value, e.Expect)
			return core.StoreReply{Op: e.Op, Entry: platform.Entry{Revision: revision}, Err: storeErr(err)}
		})
	case core.StoreWatch:
		d.async(e.Wait+watchSlack, func(ctx context.Context) core.Event {
			entry, err := d.store.Watch(ctx, e.Key, e.After, e.Wait)
			return core.StoreReply{Op: e.Op, Entry: entry, Err: storeErr(err)}
		})
	case core.LeaseAcquire:
		d.async(storeTimeout, func(ctx context.Context) core.Event {
			lease, err := d.store.Acquire(ctx, e.Name, e.Holder, e.TTL)
			return core.LeaseReply{Op: e.Op, Lease: lease, Err: storeErr(err)}
		})
	case core.LeaseRelease:
		d.async(storeTimeout, func(ctx context.Context) core.Event {
			err := d.store.Release(ctx, e.Name, e.Holder, e.Fence)
			return core.LeaseReply{Op: e.Op, Err: storeErr(err)}
		})
	case core.ListInstances:
		d.async(storeTimeout, func(ctx context.Context) core.Event {
			rows, err := d.directory.Instances(ctx)
			return core.InstanceList{Rows: rows, Err: err}
		})
	default:
		d.executeEngine(effect)
	}
}

// executeEngine carries out an effect on an engine's control interface.
func (d *Daemon) executeEngine(effect core.Effect) {
	switch e := effect.(type) {
	case core.ProbeEngine:
		d.async(controlTimeout, func(ctx context.Context) core.Event {
			return d.engines.load(ctx, e.Target)
		})
	case core.ReadCacheEvents:
		d.async(controlTimeout, func(ctx context.Context) core.Event {
			return d.engines.cacheEvents(ctx, e.Target, e.After)
		})
	case core.SendOrder:
		d.async(controlTimeout, func(ctx context.Context) core.Event {
			if d.loop.now().Mono >= e.NotAfter {
				return core.OrderReply{Engine: e.Target.Engine, Fence: e.Fence, Err: errLeaseOver}
			}
			err := d.engines.order(ctx, e)
			stale := errors.Is(err, errStaleFence)
			return core.OrderReply{Engine: e.Target.Engine, Fence: e.Fence, Stale: stale, Err: err}
		})
	case core.MoveChat:
		d.async(moveTimeout, func(ctx context.Context) core.Event {
			err := d.engines.moveChat(ctx, e)
			return core.ChatMoved{From: e.From.Engine, To: e.To.Engine, Chat: e.Chat, Err: err}
		})
	}
}

// async runs a call on its own goroutine and posts its answer. The number of calls in flight
// is bounded by the reducer, which waits for an answer before it asks again.
func (d *Daemon) async(timeout time.Duration, call func(context.Context) core.Event) {
	d.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, timeout)
		defer cancel()
		if ev := call(ctx); ev != nil {
			d.loop.post(ev)
		}
	})
}

// storeErr reduces a platform error to the sentinel that decisions depend on.
func storeErr(err error) error {
	for _, sentinel := range []error{
		platform.ErrNotFound, platform.ErrConflict, platform.ErrUnavailable, platform.ErrUnknown,
	} {
		if errors.Is(err, sentinel) {
			return sentinel
		}
	}
	if err != nil {
		return platform.ErrUnknown
	}
	return nil
}

func (d *Daemon) setPeers(e core.SetPeers) {
	targets := make([]peer.Target, len(e.Peers))
	for i, p := range e.Peers {
		targets[i] = peer.Target{ID: p.ID, Addr: p.Addr, Dial: p.Dial}
	}
	d.peers.SetTargets(targets)
}

// configInForce publishes the reducer's configuration to the goroutines that serve callers.
func (d *Daemon) configInForce(e core.ConfigInForce) {
	snapshot := d.loop.core.Snapshot()
	d.snapshot.Store(snapshot)
	d.version.Store(e.Version)
	d.publishID.Store(&e.PublishID)
	keep := make(map[fleet.EngineID]bool)
	for _, service := range snapshot.Services {
		for _, engine := range service.Engines {
			keep[engine.ID] = true
		}
	}
	d.upstreams.retain(keep)
	klog.InfoS("configuration in force", "version", e.Version, "publishID", e.PublishID)
	d.recordEvent(core.Record{Kind: "config_in_force", Detail: e.PublishID})
}

func (d *Daemon) setReady(ready bool) {
	if d.ready.Swap(ready) != ready {
		klog.InfoS("readiness changed", "ready", ready)
	}
	kind := "not_ready"
	if ready {
		kind = "ready"
	}
	d.recordEvent(core.Record{Kind: kind})
}
