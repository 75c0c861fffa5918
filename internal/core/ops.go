package core

import "github.com/bilberrywell/bilberrywell/internal/platform"

// opKind tells which role waits for an answer of the key-value service.
type opKind uint8

const (
	opHead opKind = iota + 1
	opWatch
	opBlob
	opClaimRead
	opClaimSwap
	opLease
	opLeaseRelease
)

// op is a call to the key-value service that waits for its answer.
type op struct {
	kind      opKind
	partition int
	call      uint64
}

// opTable matches answers of the key-value service with calls.
type opTable struct {
	last uint64
	open map[uint64]op
}

func (t *opTable) init() { t.open = make(map[uint64]op) }

func (t *opTable) add(o op) uint64 {
	t.last++
	t.open[t.last] = o
	return t.last
}

func (t *opTable) take(id uint64) (op, bool) {
	o, ok := t.open[id]
	delete(t.open, id)
	return o, ok
}

func (c *Core) storeReply(ev StoreReply) {
	o, ok := c.ops.take(ev.Op)
	if !ok {
		return
	}
	if ev.Err != nil && ev.Err != platform.ErrNotFound && ev.Err != platform.ErrConflict {
		c.count(CounterStoreErrors, 1)
	}
	switch o.kind {
	case opHead, opWatch:
		c.headRead(o.kind, ev)
	case opBlob:
		c.blobRead(ev)
	case opClaimRead, opClaimSwap:
		c.claimAnswer(o, ev)
	}
}
