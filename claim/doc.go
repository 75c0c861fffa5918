// Package claim grants calls that must not repeat at most once (invariant I4).
//
// Claims are grouped into partitions. Each partition is one head value in the platform's
// key-value service plus sealed, immutable segments that the head lists. A Partition is the
// state machine of one writer of one partition. It performs no I/O: inputs are method calls,
// and work is returned as Read, Swap and Reply effects, whose answers are fed back through
// Loaded and Swapped.
//
// Several writers may write one partition at the same time. Safety rests on compare-and-swap
// and on these rules:
//
//   - A claim is granted only by the Partition that received it, after its record is known to
//     be stored. Every Claim call carries its own nonce, which is stored in the record.
//   - A write whose answer was lost may still take effect while the head is at the revision
//     that the write expects. The writer therefore settles it by moving the revision with
//     another write, and then looks for its nonces in the head.
//   - A claim that was answered Unavailable is never granted. If its write may have taken
//     effect, the writer queues a release of that nonce. If the writer dies first, the record
//     stays as claimed by the requesting instance: a resend gets Running with that instance and
//     nonce, and the instance, which knows that it never got a grant, calls Release. If that
//     instance is gone as well, the record becomes unknown. No path leads to a second run.
//
// The requesting instance has two duties. It never starts an attempt after it has given up on
// its claim, even if a grant arrives later, and it sends Release for such a nonce until it gets
// Stored. It also sends Finish or MarkUnknown until it gets Stored.
//
// A segment is kept in memory only as the sorted first 8 bytes of its keys. The outcome of a
// sealed claim is read on demand.
package claim
