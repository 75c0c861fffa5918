package peer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// maxFrameFill is the size at which a frame takes no further message. A large frame would
// hold up admission messages that arrive while it is written.
const maxFrameFill = 64 << 10

// packet is an encoded message. Its bytes may be shared with other links.
type packet struct {
	kind wire.Kind
	data []byte
}

// outbox holds the queued messages of one link by class.
type outbox struct {
	mu     sync.Mutex
	queues [classes][]packet
	closed bool
	// urgent tells that a message is queued for which a caller waits.
	urgent bool
	// bulk counts the bulk bytes queued on all links of the process.
	bulk *atomic.Int64
}

// push queues a packet. It is false when the class is full or the link is down.
func (o *outbox) push(p packet) bool {
	c := classOf(p.kind)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(o.queues[c]) >= maxQueued[c] {
		return false
	}
	if c.isBulk() && o.bulk.Add(int64(len(p.data))) > maxBulkBytes {
		o.bulk.Add(-int64(len(p.data)))
		return false
	}
	o.queues[c] = append(o.queues[c], p)
	o.urgent = o.urgent || p.kind == wire.KindAdmit || p.kind == wire.KindAdmitReply
	return true
}

// isUrgent reports whether a caller waits for a queued message.
func (o *outbox) isUrgent() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.urgent
}

// collect appends queued messages to frame in class order, as far as the budget allows. It
// returns the time after which to try again, or zero when nothing is left. sent is called
// for each message.
func (o *outbox) collect(frame []byte, now time.Duration, b *budget, sent func(packet)) ([]byte, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.urgent = false
	var wait time.Duration
	for c := range classes {
		var delay time.Duration
		frame, delay = o.collectClass(frame, now, c, b, sent)
		if delay > 0 && (wait == 0 || delay < wait) {
			wait = delay
		}
	}
	return frame, wait
}

func (o *outbox) collectClass(frame []byte, now time.Duration, c class, b *budget, sent func(packet)) ([]byte, time.Duration) {
	queue := o.queues[c]
	taken := 0
	var wait time.Duration
	for _, p := range queue {
		if len(frame) > 0 && len(frame)+len(p.data) > maxFrameFill {
			wait = batchWindow
			break
		}
		bytes := len(p.data)
		if len(frame) == 0 {
			bytes += frameOverhead
		}
		if wait = b.take(now, c, bytes); wait > 0 {
			break
		}
		frame = append(frame, p.data...)
		sent(p)
		taken++
		o.release(c, p)
	}
	o.queues[c] = remaining(queue, taken)
	return frame, wait
}

// remaining returns a queue without its first packets. It drops the array of an emptied
// queue, because most links are idle most of the time.
func remaining(queue []packet, taken int) []packet {
	if taken == len(queue) {
		return nil
	}
	clear(queue[:taken])
	return queue[taken:]
}

func (o *outbox) release(c class, p packet) {
	if c.isBulk() {
		o.bulk.Add(-int64(len(p.data)))
	}
}

// close drops what is queued and returns the number of dropped messages by class.
func (o *outbox) close() [classes]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	var dropped [classes]int
	for c := range classes {
		for _, p := range o.queues[c] {
			o.release(c, p)
		}
		dropped[c] = len(o.queues[c])
		o.queues[c] = nil
	}
	return dropped
}
