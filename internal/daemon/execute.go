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
	// storeTimeout bounds a call to the platform other than a watch.
	storeTimeout = time.Second
	// watchSlack is added to the wait that a watch requests; the sum bounds the call.
	watchSlack = 2 * time.Second
)

// execute carries out an effect of the reducer. It runs on the loop's goroutine and must not block.
func (d *Daemon) execute(effect core.Effect) {
	switch e := effect.(type) {
	case core.AddToCounter:
		d.metrics.count(e.Counter, e.N)
	case core.RecordEvent:
		d.recordEvent(e)
	case core.StartAttempt:
		d.requests.send(e.Request, e)
	case core.FailRequest:
		d.requests.send(e.Request, e)
	case core.ReplayOutcome:
		d.requests.send(e.Request, e)
	case core.SendMessage:
		d.peers.Send(e.To, e.Message)
	case core.SetPeers:
		d.setPeers(e)
	case core.ConfigInForce:
		d.applyConfig(e)
	case core.SetReady:
		d.setReady(e.Ready)
	case core.DrainStarted:
		d.drainOnce.Do(func() { close(d.drainStarted) })
		d.presence.markLeaving()
	case core.InterruptAttempts:
		d.interrupt()
	case core.Drained:
		close(d.drainDone)
	default:
		d.executeAsync(effect)
	}
}

// executeAsync carries out an effect that calls the platform or an engine, on another goroutine.
func (d *Daemon) executeAsync(effect core.Effect) {
	switch e := effect.(type) {
	case core.StoreGet:
		d.runAsync(storeTimeout, func(ctx context.Context) core.Event {
			entry, err := d.store.Get(ctx, e.Key)
			return core.StoreReply{Op: e.Op, Entry: entry, Err: storeSentinel(err)}
		})
	case core.StoreSwap:
		d.runAsync(storeTimeout, func(ctx context.Context) core.Event {
			revision, err := d.store.CompareAndSwap(ctx, e.Key, e.Value, e.Expect)
			return core.StoreReply{Op: e.Op, Entry: platform.Entry{Revision: revision}, Err: storeSentinel(err)}
		})
	case core.StoreWatch:
		d.runAsync(e.Wait+watchSlack, func(ctx context.Context) core.Event {
			entry, err := d.store.Watch(ctx, e.Key, e.After, e.Wait)
			return core.StoreReply{Op: e.Op, Entry: entry, Err: storeSentinel(err)}
		})
	case core.LeaseAcquire:
		d.runAsync(storeTimeout, func(ctx context.Context) core.Event {
			lease, err := d.store.Acquire(ctx, e.Name, e.Holder, e.TTL)
			return core.LeaseReply{Op: e.Op, Lease: lease, Err: storeSentinel(err)}
		})
	case core.LeaseRelease:
		d.runAsync(storeTimeout, func(ctx context.Context) core.Event {
			err := d.store.Release(ctx, e.Name, e.Holder, e.Fence)
			return core.LeaseReply{Op: e.Op, Err: storeSentinel(err)}
		})
	case core.ListInstances:
		d.runAsync(storeTimeout, func(ctx context.Context) core.Event {
			rows, err := d.directory.Instances(ctx)
			return core.InstanceList{Rows: rows, Err: err}
		})
	default:
		d.executeEngineEffect(effect)
	}
}

// executeEngineEffect carries out an effect on an engine's control interface.
func (d *Daemon) executeEngineEffect(effect core.Effect) {
	switch e := effect.(type) {
	case core.ProbeEngine:
		d.runAsync(controlTimeout, func(ctx context.Context) core.Event {
			return d.engines.fetchLoad(ctx, e.Target)
		})
	case core.ReadCacheEvents:
		d.runAsync(controlTimeout, func(ctx context.Context) core.Event {
			return d.engines.fetchCacheEvents(ctx, e.Target, e.After)
		})
	case core.SendOrder:
		d.runAsync(controlTimeout, func(ctx context.Context) core.Event {
			if d.loop.now().Mono >= e.NotAfter {
				return core.OrderReply{Engine: e.Target.Engine, Fence: e.Fence, Err: errLeaseExpired}
			}
			err := d.engines.sendOrder(ctx, e)
			stale := errors.Is(err, errStaleFence)
			return core.OrderReply{Engine: e.Target.Engine, Fence: e.Fence, Stale: stale, Err: err}
		})
	case core.MoveChat:
		d.runAsync(cacheMoveTimeout, func(ctx context.Context) core.Event {
			err := d.engines.moveChatCache(ctx, e)
			return core.ChatMoved{From: e.From.Engine, To: e.To.Engine, Chat: e.Chat, Err: err}
		})
	}
}

// runAsync runs a call on its own goroutine and posts the event that it returns. The reducer
// bounds the number of calls in flight: it waits for a reply before it repeats a call.
func (d *Daemon) runAsync(timeout time.Duration, call func(context.Context) core.Event) {
	d.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, timeout)
		defer cancel()
		if ev := call(ctx); ev != nil {
			d.loop.post(ev)
		}
	})
}

// storeSentinel returns the sentinel that an error of the store wraps, because the reducer
// distinguishes only the sentinels. Any other error becomes platform.ErrUnknown.
func storeSentinel(err error) error {
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

// applyConfig makes the reducer's configuration visible to the goroutines that serve callers, and
// drops the connection pools of engines that it no longer contains.
func (d *Daemon) applyConfig(e core.ConfigInForce) {
	snapshot := d.loop.core.Snapshot()
	d.snapshot.Store(snapshot)
	d.version.Store(e.Version)
	d.publishID.Store(&e.PublishID)
	published := make(map[fleet.EngineID]bool)
	for _, service := range snapshot.Services {
		for _, engine := range service.Engines {
			published[engine.ID] = true
		}
	}
	d.upstreams.retain(published)
	klog.InfoS("configuration in force", "version", e.Version, "publishID", e.PublishID)
	d.recordEvent(core.RecordEvent{Kind: "config_in_force", Detail: e.PublishID})
}

func (d *Daemon) setReady(ready bool) {
	if d.ready.Swap(ready) != ready {
		klog.InfoS("readiness changed", "ready", ready)
	}
	kind := "not_ready"
	if ready {
		kind = "ready"
	}
	d.recordEvent(core.RecordEvent{Kind: kind})
}
