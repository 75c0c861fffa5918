package peer

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

const (
	// minFrameInterval is the shortest time between two frames of a link. It lets messages that
	// follow each other closely share a frame. Admission requests and their replies are sent
	// without this wait, because callers wait for them, and a shorter wait is not possible: the
	// runtime rounds it up to a millisecond.
	minFrameInterval = time.Millisecond
	// frameOverheadBytes is the header size with which a frame is charged to the budget.
	frameOverheadBytes = 8
	// maxPooledBytes is the capacity of the largest buffer that is pooled. Buffers of the rare
	// larger frames are left to the garbage collector.
	maxPooledBytes = 64 << 10
)

// link is one open connection to a peer.
type link struct {
	manager *Manager
	conn    *websocket.Conn
	hello   wire.Hello
	// dialer is the instance that opened the connection.
	dialer   fleet.InstanceID
	outbox   outbox
	wake     chan struct{}
	done     chan struct{}
	lastRead atomic.Int64 // time.Duration of the manager's clock

	// deliverMu is held during callbacks, so that no message is delivered after OnDown.
	deliverMu sync.Mutex
	// down is set when the link has been replaced or closed. deliverMu guards it.
	down bool
}

// newLink returns a link over a connection whose handshake is complete.
func (m *Manager) newLink(conn *websocket.Conn, hello wire.Hello, dialer fleet.InstanceID) *link {
	l := &link{manager: m, conn: conn, hello: hello, dialer: dialer}
	l.outbox.bulkBytes = &m.bulkBytes
	l.wake = make(chan struct{}, 1)
	l.done = make(chan struct{})
	l.lastRead.Store(int64(m.clock()))
	return l
}

// run serves the link until it closes. It reads in the caller's goroutine and writes in another.
func (l *link) run() {
	watchdog := l.startWatchdog()
	defer watchdog.Stop()
	l.manager.wg.Go(l.write)
	l.read()
	_ = l.conn.CloseNow()
}

// startWatchdog starts a timer that closes the connection when nothing was read for the silence
// limit. This ends a blocked read or write, and so detects half-open connections.
func (l *link) startWatchdog() *time.Timer {
	var timer atomic.Pointer[time.Timer]
	check := func() {
		idle := l.manager.clock() - time.Duration(l.lastRead.Load())
		if limit := l.manager.SilenceLimit(); idle < limit {
			timer.Load().Reset(limit - idle)
			return
		}
		l.manager.counters.closedSilent.Inc()
		_ = l.conn.CloseNow()
	}
	t := time.AfterFunc(time.Hour, check)
	timer.Store(t)
	t.Reset(l.manager.SilenceLimit())
	return t
}

// read receives frames and handles them until the connection fails or a frame is malformed.
func (l *link) read() {
	for {
		_, r, err := l.conn.Reader(context.Background())
		if err != nil {
			return
		}
		buffer := readBuffers.Get().(*bytes.Buffer)
		buffer.Reset()
		_, err = buffer.ReadFrom(activityReader{l, r})
		if err == nil {
			err = l.handle(buffer.Bytes())
		}
		recycleReadBuffer(buffer)
		if err != nil {
			return
		}
	}
}

// activityReader updates the link's time of last activity with each part of a frame that arrives,
// so that a large frame on a slow path is not taken for silence.
type activityReader struct {
	link *link
	r    io.Reader
}

// Read implements io.Reader.
func (a activityReader) Read(p []byte) (int, error) {
	n, err := a.r.Read(p)
	a.link.lastRead.Store(int64(a.link.manager.clock()))
	return n, err
}

// handle counts and delivers the messages of a frame.
func (l *link) handle(frame []byte) error {
	l.manager.counters.countFrame(received, headerBytes(len(frame), !l.dialed()))
	err := wire.DecodeEach(frame, func(m wire.Message, size int) {
		l.manager.counters.countMessage(received, m.Kind(), size)
		l.dispatch(m)
	})
	if err != nil {
		l.manager.counters.closedMalformed.Inc()
	}
	return err
}

// dispatch calls OnStamp for a stamp and, unless the link is down, OnMessage for any other message. It
// ignores hello messages.
func (l *link) dispatch(m wire.Message) {
	switch m := m.(type) {
	case *wire.Hello:
		return
	case *wire.Stamp:
		if l.manager.config.OnStamp != nil {
			l.manager.config.OnStamp(m.Time)
		}
		return
	}
	l.deliverMu.Lock()
	defer l.deliverMu.Unlock()
	if !l.down && l.manager.config.OnMessage != nil {
		l.manager.config.OnMessage(l.hello.Instance, l.hello.Incarnation, m)
	}
}

// send queues a packet and wakes the writer. It never blocks. It returns false if the packet is not
// queued.
func (l *link) send(p packet) bool {
	if !l.outbox.push(p) {
		return false
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// write sends queued messages in frames until the link is down.
func (l *link) write() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	lastWrite := -minFrameInterval
	for l.waitForWork(timer) {
		now := l.manager.clock()
		if untilNext := lastWrite + minFrameInterval - now; untilNext > 0 && !l.outbox.isUrgent() {
			timer.Reset(untilNext)
			continue
		}
		wrote, wait := l.writeFrame(now)
		if wrote {
			lastWrite = now
		}
		if wait > 0 {
			timer.Reset(wait)
		}
	}
}

// waitForWork waits for a queued message or the timer. It returns false when the link is down.
func (l *link) waitForWork(timer *time.Timer) bool {
	select {
	case <-l.done:
		return false
	case <-l.wake:
		return true
	case <-timer.C:
		return true
	}
}

// writeFrame sends one frame with the queued messages that the budget and the size of a frame allow.
// It returns whether a frame was sent, and the time after which to try again, or zero if no message
// is left.
func (l *link) writeFrame(now time.Duration) (wrote bool, wait time.Duration) {
	buffer := writeBuffers.Get().(*[]byte)
	defer recycleWriteBuffer(buffer)
	stamp := l.manager.appendStamp((*buffer)[:0])
	frame, wait := l.outbox.collect(stamp, now, l.manager.budget, l.countSent)
	*buffer = frame
	if len(frame) == len(stamp) {
		return false, wait
	}
	l.manager.counters.countMessage(sent, wire.KindStamp, len(stamp))
	l.manager.counters.countFrame(sent, headerBytes(len(frame), l.dialed()))
	// An error closes the connection, which ends read and with it the link.
	_ = l.conn.Write(context.Background(), websocket.MessageBinary, frame)
	return true, wait
}

// appendStamp appends the message with the logical time of a frame, if Config.Stamp is set.
func (m *Manager) appendStamp(frame []byte) []byte {
	if m.config.Stamp == nil {
		return frame
	}
	stamped, err := wire.Append(frame, &wire.Stamp{Time: m.config.Stamp()})
	if err != nil {
		return frame
	}
	return stamped
}

func (l *link) countSent(p packet) {
	l.manager.counters.countMessage(sent, p.kind, len(p.data))
}

// dialed reports whether this side opened the connection.
func (l *link) dialed() bool { return l.dialer == l.manager.config.Self.Instance }

// headerBytes returns the size of the header of a WebSocket frame. Frames of the dialing side must
// be masked, which takes 4 more bytes.
func headerBytes(payload int, masked bool) int {
	size := 2
	switch {
	case payload > 0xffff:
		size += 8
	case payload > 125:
		size += 2
	}
	if masked {
		size += 4
	}
	return size
}

// The buffers are pooled for all links together, because most links are idle at any time.
var (
	readBuffers  = sync.Pool{New: func() any { return new(bytes.Buffer) }}
	writeBuffers = sync.Pool{New: func() any { return new([]byte) }}
)

func recycleReadBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBytes {
		readBuffers.Put(b)
	}
}

func recycleWriteBuffer(b *[]byte) {
	if cap(*b) <= maxPooledBytes {
		writeBuffers.Put(b)
	}
}
