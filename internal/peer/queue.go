package peer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// maxBatchBytes is the size up to which further messages are added to a frame. A larger frame would
// delay admission messages that are queued while it is being written.
const maxBatchBytes = 64 << 10

// maxBesideLargeBytes is the size of a frame up to which a message of over maxBatchBytes is added. Such a message
// needs a large frame in any case, and with steady traffic no frame is empty.
const maxBesideLargeBytes = 4 << 10

// maxMessageBytes is the size of the largest message that is accepted. With the messages that may stand before it
// in its frame it stays below the limit of the receiver.
const maxMessageBytes = wire.MaxFrameBytes - 2*maxBesideLargeBytes

// packet is an encoded message. Its bytes may be shared with other links.
type packet struct {
	kind wire.Kind
	data []byte
}

// outbox holds the queued messages of one link by class.
type outbox struct {
	mu     sync.Mutex
	queues [classCount][]packet
	closed bool
	// urgent is set when an admission request or reply, for which a caller waits, is queued.
	urgent bool
	// bulkBytes is Manager.bulkBytes.
	bulkBytes *atomic.Int64
}

// push queues a packet. It returns false if the packet is too large for a frame, the queue of its class is full,
// the process has too many bulk bytes queued, or the link is down.
func (o *outbox) push(p packet) bool {
	c := classOf(p.kind)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(o.queues[c]) >= maxQueued[c] || len(p.data) > maxMessageBytes {
		return false
	}
	if c.isBulk() && o.bulkBytes.Add(int64(len(p.data))) > maxBulkBytes {
		o.bulkBytes.Add(-int64(len(p.data)))
		return false
	}
	o.queues[c] = append(o.queues[c], p)
	o.urgent = o.urgent || p.kind == wire.KindAdmit || p.kind == wire.KindAdmitReply
	return true
}

// isUrgent reports whether an admission request or reply is queued.
func (o *outbox) isUrgent() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.urgent
}

// collect appends queued messages to frame in order of class, as far as the budget allows. It
// returns the time after which to try again, or zero if no message is left. It calls onSent
// for each appended message. What frame holds at first, its stamp, is charged with the first message.
func (o *outbox) collect(frame []byte, now time.Duration, b *budget, onSent func(packet)) ([]byte, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.urgent = false
	header := len(frame)
	var wait time.Duration
	for c := range classCount {
		var delay time.Duration
		frame, delay = o.collectClass(frame, header, now, c, b, onSent)
		if delay > 0 && (wait == 0 || delay < wait) {
			wait = delay
		}
	}
	return frame, wait
}

// collectClass does the work of collect for one class. header is the size of the frame without messages.
func (o *outbox) collectClass(frame []byte, header int, now time.Duration, c class, b *budget, onSent func(packet)) ([]byte, time.Duration) {
	queue := o.queues[c]
	taken := 0
	var wait time.Duration
	for _, p := range queue {
		if !fits(len(frame), header, len(p.data)) {
			wait = minFrameInterval
			break
		}
		bytes := len(p.data)
		if len(frame) == header {
			bytes += frameOverheadBytes + header
		}
		if wait = b.take(now, c, bytes); wait > 0 {
			break
		}
		frame = append(frame, p.data...)
		onSent(p)
		taken++
		o.releaseBulk(c, p)
	}
	o.queues[c] = dropFirst(queue, taken)
	return frame, wait
}

// fits reports whether a message may be added to a frame.
func fits(frame, header, message int) bool {
	return frame == header || frame+message <= maxBatchBytes || message > maxBatchBytes && frame <= maxBesideLargeBytes
}

// dropFirst returns a queue without its first taken packets. It returns nil for an emptied queue, to
// free its array, because most links are idle most of the time.
func dropFirst(queue []packet, taken int) []packet {
	if taken == len(queue) {
		return nil
	}
	clear(queue[:taken])
	return queue[taken:]
}

// releaseBulk subtracts a removed packet from the count of bulk bytes.
func (o *outbox) releaseBulk(c class, p packet) {
	if c.isBulk() {
		o.bulkBytes.Add(-int64(len(p.data)))
	}
}

// close drops all queued messages and returns their number by class. Later pushes fail.
func (o *outbox) close() [classCount]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	var dropped [classCount]int
	for c := range classCount {
		for _, p := range o.queues[c] {
			o.releaseBulk(c, p)
		}
		dropped[c] = len(o.queues[c])
		o.queues[c] = nil
	}
	return dropped
}
