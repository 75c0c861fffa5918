package core

import (
	"errors"
	"sort"
	"strconv"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/claim"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// claimOwner returns the instance that batches the claims of a partition.
func (c *Core) claimOwner(partition int) fleet.InstanceID {
	live := c.homeCandidates(c.cfg.Region)
	return affinity.HomeOf(fleet.EngineID("claims-"+strconv.Itoa(partition)), "", live)
}

// claimRequested passes an entry's claim to the partition's writer.
func (c *Core) claimRequested(from fleet.InstanceID, incarnation uint64, m *wire.ClaimRequest) {
	if len(m.Key) != len(claim.Key{}) {
		return
	}
	key := claim.Key(m.Key)
	c.claims.claimants[claimRef{key, m.Nonce}] = claimant{from, m.ID}
	partition := claim.PartitionOf(key)
	c.claimEffects(partition, c.writer(partition).Claim(c.mono(), claim.Request{
		Key:         key,
		Fingerprint: m.Fingerprint,
		Holder:      claim.Holder{Instance: from, Incarnation: incarnation},
		Attempt:     m.Attempt,
		Nonce:       m.Nonce,
	}))
}

// claimFinished passes the end of a claimed call to the partition's writer.
func (c *Core) claimFinished(from fleet.InstanceID, m *wire.ClaimFinish) {
	if len(m.Key) != len(claim.Key{}) {
		return
	}
	key := claim.Key(m.Key)
	c.claims.claimants[claimRef{key, m.Nonce}] = claimant{from, m.ID}
	partition := claim.PartitionOf(key)
	writer := c.writer(partition)
	switch m.End {
	case wire.ClaimEndDone:
		c.claimEffects(partition, writer.Finish(c.mono(), key, m.Nonce, claimOutcome(m.Outcome)))
	case wire.ClaimEndReleased:
		c.claimEffects(partition, writer.Release(c.mono(), key, m.Nonce))
	case wire.ClaimEndUnknown:
		c.claimEffects(partition, writer.MarkUnknown(c.mono(), key, m.Nonce))
	}
}

func claimOutcome(o *wire.Outcome) claim.Outcome {
	if o == nil {
		return claim.Outcome{StatusOnly: true}
	}
	return claim.Outcome{Status: o.Status, ContentType: o.ContentType, Body: o.Body, StatusOnly: o.Truncated}
}

// writer returns the state machine of a partition.
func (c *Core) writer(partition int) *claim.Partition {
	w := c.claims.writers[partition]
	if w == nil {
		w = claim.New(claim.Config{
			Partition:  partition,
			Writer:     claim.Holder{Instance: c.cfg.Instance, Incarnation: c.cfg.Incarnation},
			BatchEvery: c.cfg.ClaimBatch,
			Deadline:   claimDeadline,
			Retention:  c.cfg.ClaimRetention,
			SealBytes:  claimSealBytes,
		}, c.rng)
		c.claims.writers[partition] = w
		c.claimEffects(partition, w.Tick(c.mono(), c.now.Wall.UnixMilli()))
	}
	return w
}

// claimEffects carries out the effects of a partition's writer.
func (c *Core) claimEffects(partition int, effects []claim.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case claim.Read:
			o := c.ops.add(op{kind: opClaimRead, partition: partition, call: e.Call})
			c.emit(StoreGet{Op: o, Key: e.Key})
		case claim.Swap:
			o := c.ops.add(op{kind: opClaimSwap, partition: partition, call: e.Call})
			c.emit(StoreSwap{Op: o, Key: e.Key, Value: e.Value, Expect: e.Expect})
		case claim.Reply:
			c.claimReply(e)
		}
	}
}

// claimAnswer feeds an answer of the key-value service to the partition's writer.
func (c *Core) claimAnswer(o op, ev StoreReply) {
	w := c.claims.writers[o.partition]
	if w == nil {
		return
	}
	if o.kind == opClaimRead {
		entry := claim.Entry{Value: ev.Entry.Value, Revision: ev.Entry.Revision}
		c.claimEffects(o.partition, w.Loaded(c.mono(), o.call, entry, claimErr(ev.Err)))
		return
	}
	c.claimEffects(o.partition, w.Swapped(c.mono(), o.call, ev.Entry.Revision, claimErr(ev.Err)))
}

func claimErr(err error) claim.ErrKind {
	switch {
	case err == nil:
		return claim.OK
	case errors.Is(err, platform.ErrNotFound):
		return claim.NotFound
	case errors.Is(err, platform.ErrConflict):
		return claim.Conflict
	case errors.Is(err, platform.ErrUnavailable):
		return claim.Failed
	}
	return claim.Lost
}

var claimStatus = map[claim.ReplyKind]wire.ClaimStatus{
	claim.Granted:     wire.ClaimGranted,
	claim.Recorded:    wire.ClaimRecorded,
	claim.Running:     wire.ClaimRunning,
	claim.Unknown:     wire.ClaimUnknown,
	claim.Unavailable: wire.ClaimUnavailable,
	claim.Mismatch:    wire.ClaimMismatch,
	claim.Stored:      wire.ClaimStored,
}

// claimReply sends a writer's reply to the instance that waits for it.
func (c *Core) claimReply(e claim.Reply) {
	ref := claimRef{e.Key, e.Nonce}
	to, ok := c.claims.claimants[ref]
	if !ok {
		return
	}
	delete(c.claims.claimants, ref)
	m := &wire.ClaimReply{ID: to.id, Status: claimStatus[e.Kind], Unsettled: e.Unsettled}
	if e.Kind == claim.Recorded {
		m.Outcome = &wire.Outcome{
			Status:      e.Outcome.Status,
			ContentType: e.Outcome.ContentType,
			Body:        e.Outcome.Body,
			Truncated:   e.Outcome.StatusOnly,
		}
	}
	c.send(to.instance, m)
}

// holderGone marks the claims of an instance that is gone as unknown.
func (c *Core) holderGone(id fleet.InstanceID, incarnation uint64) {
	if incarnation == 0 {
		return
	}
	for _, partition := range c.ownPartitions() {
		holder := claim.Holder{Instance: id, Incarnation: incarnation}
		c.claimEffects(partition, c.claims.writers[partition].InstanceGone(c.mono(), holder))
	}
}

// ownPartitions returns the partitions that this instance writes, in order.
func (c *Core) ownPartitions() []int {
	list := make([]int, 0, len(c.claims.writers))
	for partition := range c.claims.writers {
		list = append(list, partition)
	}
	sort.Ints(list)
	return list
}

// checkHolders ends the claims of instances that are gone or have restarted.
func (c *Core) checkHolders() {
	for _, partition := range c.ownPartitions() {
		w := c.claims.writers[partition]
		c.claimEffects(partition, w.Tick(c.mono(), c.now.Wall.UnixMilli()))
		for _, holder := range w.Running() {
			if c.isGone(holder) {
				c.claimEffects(partition, w.InstanceGone(c.mono(), holder))
			}
		}
	}
}

// isGone reports whether the process that holds a claim can't come back to it. An
// instance that this one has never heard of is judged once the list is known and the
// probation of listed instances is over.
func (c *Core) isGone(holder claim.Holder) bool {
	if holder.Instance == c.cfg.Instance {
		return holder.Incarnation != c.cfg.Incarnation
	}
	if incarnation, ok := c.view.Incarnation(holder.Instance); ok && incarnation != holder.Incarnation {
		return incarnation > holder.Incarnation
	}
	if !c.members.listed || c.mono() < holderPatience {
		return false
	}
	return !c.view.Known(holder.Instance)
}
