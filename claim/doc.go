// Package claim ensures that a non-idempotent call runs at most once (invariant I4 of
// docs/design.md). An instance claims a call before it runs it, and the claim and the call's
// outcome are stored in the platform's key-value service.
//
// Claims are grouped into partitions. Each partition consists of one head value and of the
// sealed, immutable segments that the head lists. A Partition is the state machine of one
// writer of one partition. It performs no I/O: inputs are method calls, and work is returned as
// Read, Swap and Reply effects. The caller passes the results of Read and Swap to ReadDone and
// SwapDone.
//
// Several writers may write one partition at the same time. Safety depends on compare-and-swap
// and on these rules:
//
//   - A claim is granted only by the Partition that received it, after its record is known to
//     be stored. Every Claim call carries its own nonce, which is stored in the record.
//   - A write whose answer was lost may still take effect while the head is at the revision
//     that the write expects. The writer therefore advances the revision with another write,
//     after which the lost write can no longer succeed, and then looks for its nonces in the
//     head.
//   - A claim that was answered Unavailable is never granted. If its write may have taken
//     effect, the writer queues a release of that nonce. If the writer fails first, the record
//     remains claimed by the requesting instance: a resend gets Running with that instance and
//     nonce, and the instance, which knows that it never got a grant, calls Release. If that
//     instance is gone as well, the record becomes unknown. In none of these cases does the
//     call run twice.
//
// The requesting instance must follow two rules. It never starts an attempt after it has given
// up on its claim, even if a grant arrives later, and it sends Release for such a nonce until it
// gets Stored. It also sends Finish or MarkUnknown until it gets Stored.
//
// Of a segment, only the sorted first 8 bytes of its keys are kept in memory. The outcome of a
// claim in a segment is read from the key-value service when it is needed.
package claim
