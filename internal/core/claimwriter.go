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

// claimOwner returns the instance that should write a partition. All entries choose the same one, so
// that its claims are written in batches.
func (c *Core) claimOwner(partition int) fleet.InstanceID {
	live := c.homeCandidates(c.cfg.Region)
	return affinity.HomeOf(fleet.EngineID("claims-"+strconv.Itoa(partition)), "", live)
}

// claimRequested passes an entry's claim to the partition's state machine.
func (c *Core) claimRequested(from fleet.InstanceID, incarnation uint64, m *wire.ClaimRequest) {
	if len(m.Key) != len(claim.Key{}) {
		return
	}
	key := claim.Key(m.Key)
	c.claims.claimants[claimRef{key, m.Nonce}] = claimant{from, m.ID}
	partition := claim.PartitionOf(key)
	c.applyClaimEffects(partition, c.claimWriter(partition).Claim(c.mono(), claim.Request{
		Key:         key,
		Fingerprint: m.Fingerprint,
		Holder:      claim.Holder{Instance: from, Incarnation: incarnation},
		Attempt:     m.Attempt,
		Nonce:       m.Nonce,
	}))
}

// claimFinished passes the end of a claimed call to the partition's state machine.
func (c *Core) claimFinished(from fleet.InstanceID, m *wire.ClaimFinish) {
	if len(m.Key) != len(claim.Key{}) {
		return
	}
	key := claim.Key(m.Key)
	c.claims.claimants[claimRef{key, m.Nonce}] = claimant{from, m.ID}
	partition := claim.PartitionOf(key)
	writer := c.claimWriter(partition)
	switch m.End {
	case wire.ClaimEndDone:
		c.applyClaimEffects(partition, writer.Finish(c.mono(), key, m.Nonce, claimOutcome(m.Outcome)))
	case wire.ClaimEndReleased:
		c.applyClaimEffects(partition, writer.Release(c.mono(), key, m.Nonce))
	case wire.ClaimEndUnknown:
		c.applyClaimEffects(partition, writer.MarkUnknown(c.mono(), key, m.Nonce))
	}
}

func claimOutcome(o *wire.Outcome) claim.Outcome {
	if o == nil {
		return claim.Outcome{StatusOnly: true}
	}
	return claim.Outcome{Status: o.Status, ContentType: o.ContentType, Body: o.Body, StatusOnly: o.Truncated}
}

// claimWriter returns the state machine of a partition, which it creates on first use.
func (c *Core) claimWriter(partition int) *claim.Partition {
	w := c.claims.writers[partition]
	if w == nil {
		w = claim.New(claim.Config{
			Partition:  partition,
			Writer:     claim.Holder{Instance: c.cfg.Instance, Incarnation: c.cfg.Incarnation},
			BatchDelay: c.cfg.ClaimBatchDelay,
			Deadline:   claimDeadline,
			Retention:  c.cfg.ClaimRetention,
			SealBytes:  claimSealBytes,
		}, c.rng)
		c.claims.writers[partition] = w
		c.applyClaimEffects(partition, w.Tick(c.mono(), c.now.Wall.UnixMilli()))
	}
	return w
}

// applyClaimEffects turns the effects of a partition's state machine into effects of this step.
func (c *Core) applyClaimEffects(partition int, effects []claim.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case claim.Read:
			id := c.operations.add(operation{kind: opClaimRead, partition: partition, call: e.Call})
			c.emit(StoreGet{Op: id, Key: e.Key})
		case claim.Swap:
			id := c.operations.add(operation{kind: opClaimSwap, partition: partition, call: e.Call})
			c.emit(StoreSwap{Op: id, Key: e.Key, Value: e.Value, Expect: e.Expect})
		case claim.Reply:
			c.claimReply(e)
		}
	}
}

// claimStoreReply passes an answer of the key-value service to the partition's state machine.
func (c *Core) claimStoreReply(o operation, ev StoreReply) {
	w := c.claims.writers[o.partition]
	if w == nil {
		return
	}
	if o.kind == opClaimRead {
		entry := claim.Entry{Value: ev.Entry.Value, Revision: ev.Entry.Revision}
		c.applyClaimEffects(o.partition, w.ReadDone(c.mono(), o.call, entry, claimCallResult(ev.Err)))
		return
	}
	c.applyClaimEffects(o.partition, w.SwapDone(c.mono(), o.call, ev.Entry.Revision, claimCallResult(ev.Err)))
}

// claimCallResult classifies an error of the key-value service. Any error that doesn't rule out
// the write counts as a lost answer.
func claimCallResult(err error) claim.CallResult {
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

// claimReply sends a partition's reply to the instance that waits for it.
func (c *Core) claimReply(e claim.Reply) {
	ref := claimRef{e.Key, e.Nonce}
	to, ok := c.claims.claimants[ref]
	if !ok {
		return
	}
	delete(c.claims.claimants, ref)
	m := &wire.ClaimReply{ID: to.id, Status: claimStatus[e.Kind], MayBeStored: e.MayBeStored}
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

// claimHolderGone marks the running claims of a process that has ended as unknown.
func (c *Core) claimHolderGone(id fleet.InstanceID, incarnation uint64) {
	if incarnation == 0 {
		return
	}
	for _, partition := range c.ownPartitions() {
		holder := claim.Holder{Instance: id, Incarnation: incarnation}
		c.applyClaimEffects(partition, c.claims.writers[partition].InstanceGone(c.mono(), holder))
	}
}

// ownPartitions returns the partitions that have a state machine at this instance, in order.
func (c *Core) ownPartitions() []int {
	list := make([]int, 0, len(c.claims.writers))
	for partition := range c.claims.writers {
		list = append(list, partition)
	}
	sort.Ints(list)
	return list
}

// checkClaimHolders marks the running claims of processes that have ended as unknown.
func (c *Core) checkClaimHolders() {
	for _, partition := range c.ownPartitions() {
		w := c.claims.writers[partition]
		c.applyClaimEffects(partition, w.Tick(c.mono(), c.now.Wall.UnixMilli()))
		for _, holder := range w.Running() {
			if c.isClaimHolderGone(holder) {
				c.applyClaimEffects(partition, w.InstanceGone(c.mono(), holder))
			}
		}
	}
}

// isClaimHolderGone reports whether the process that holds a claim has ended. An instance that is
// not in the membership view counts as gone only after the instance list has been read and
// unknownHolderGracePeriod, which outlasts membership's StartupGrace, is over.
func (c *Core) isClaimHolderGone(holder claim.Holder) bool {
	if holder.Instance == c.cfg.Instance {
		return holder.Incarnation != c.cfg.Incarnation
	}
	if incarnation, ok := c.view.Incarnation(holder.Instance); ok && incarnation != holder.Incarnation {
		return incarnation > holder.Incarnation
	}
	if !c.members.listReceived || c.mono() < unknownHolderGracePeriod {
		return false
	}
	return !c.view.Known(holder.Instance)
}
