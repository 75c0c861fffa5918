package core

import "github.com/bilberrywell/bilberrywell/internal/platform"

// opKind identifies the handler of a platform operation's answer.
type opKind uint8

const (
	opReadHead opKind = iota + 1
	opWatchHead
	opReadBlob
	opClaimRead
	opClaimSwap
	opLease
	opLeaseRelease
)

// operation is a call to the platform's key-value or lease service that waits for its answer.
type operation struct {
	kind opKind
	// partition is the claim partition of claim operations.
	partition int
	// call is the number that the claim partition or lease state machine gave to the call.
	call uint64
}

// operationTable matches answers of the platform with the calls that wait for them.
type operationTable struct {
	last    uint64
	pending map[uint64]operation
}

func (t *operationTable) init() { t.pending = make(map[uint64]operation) }

func (t *operationTable) add(o operation) uint64 {
	t.last++
	t.pending[t.last] = o
	return t.last
}

func (t *operationTable) take(id uint64) (operation, bool) {
	o, ok := t.pending[id]
	delete(t.pending, id)
	return o, ok
}

func (c *Core) storeReply(ev StoreReply) {
	o, ok := c.operations.take(ev.Op)
	if !ok {
		return
	}
	if ev.Err != nil && ev.Err != platform.ErrNotFound && ev.Err != platform.ErrConflict {
		c.count(CounterStoreErrors, 1)
	}
	switch o.kind {
	case opReadHead, opWatchHead:
		c.headRead(o.kind, ev)
	case opReadBlob:
		c.blobRead(ev)
	case opClaimRead, opClaimSwap:
		c.claimStoreReply(o, ev)
	}
}
