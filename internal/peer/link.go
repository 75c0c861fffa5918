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
	// batchWindow is the shortest time between two frames of a link, so that messages that
	// follow each other share a frame. Admission requests and their replies don't wait for
	// it: callers wait for them, and the runtime rounds shorter waits up to a millisecond.
	batchWindow = time.Millisecond
	// frameOverhead is the header size that the budget takes for a frame.
	frameOverhead = 8
	// maxPooledBuffer keeps rare large frames from staying in memory.
	maxPooledBuffer = 64 << 10
)

// link is one open connection to a peer.
type link struct {
	m     *Manager
	conn  *websocket.Conn
	hello wire.Hello
	// dialer is the instance that opened the connection.
	dialer   fleet.InstanceID
	outbox   outbox
	wake     chan struct{}
	done     chan struct{}
	lastRead atomic.Int64 // time.Duration of the manager's clock

	// deliver is held during callbacks, so that no message is delivered after OnDown.
	deliver sync.Mutex
	down    bool
}

func (m *Manager) newLink(conn *websocket.Conn, hello wire.Hello, dialer fleet.InstanceID) *link {
	l := &link{m: m, conn: conn, hello: hello, dialer: dialer}
	l.outbox.bulk = &m.bulk
	l.wake = make(chan struct{}, 1)
	l.done = make(chan struct{})
	l.lastRead.Store(int64(m.clock()))
	return l
}

// run serves the link until it closes. The caller's goroutine reads.
func (l *link) run() {
	watchdog := l.startWatchdog()
	defer watchdog.Stop()
	l.m.wg.Go(l.write)
	l.read()
	_ = l.conn.CloseNow()
}

// startWatchdog closes the connection when nothing was read for the silence limit. A
// blocked read or write ends with it, so half-open connections are found in this way.
func (l *link) startWatchdog() *time.Timer {
	var timer atomic.Pointer[time.Timer]
	check := func() {
		idle := l.m.clock() - time.Duration(l.lastRead.Load())
		if limit := l.m.silence(); idle < limit {
			timer.Load().Reset(limit - idle)
			return
		}
		l.m.counters.silent.Inc()
		_ = l.conn.CloseNow()
	}
	t := time.AfterFunc(time.Hour, check)
	timer.Store(t)
	t.Reset(l.m.silence())
	return t
}

func (l *link) read() {
	for {
		_, r, err := l.conn.Reader(context.Background())
		if err != nil {
			return
		}
		buffer := buffers.Get().(*bytes.Buffer)
		buffer.Reset()
		_, err = buffer.ReadFrom(activity{l, r})
		if err == nil {
			err = l.handle(buffer.Bytes())
		}
		recycle(buffer)
		if err != nil {
			return
		}
	}
}

// activity notes each part of a frame that arrives, so that a large frame on a slow path
// is not taken for silence.
type activity struct {
	link *link
	r    io.Reader
}

// Read implements io.Reader.
func (a activity) Read(p []byte) (int, error) {
	n, err := a.r.Read(p)
	a.link.lastRead.Store(int64(a.link.m.clock()))
	return n, err
}

func (l *link) handle(frame []byte) error {
	l.m.counters.frame(received, headerBytes(len(frame), !l.dialed()))
	err := wire.DecodeEach(frame, func(m wire.Message, size int) {
		l.m.counters.message(received, m.Kind(), size)
		l.dispatch(m)
	})
	if err != nil {
		l.m.counters.malformed.Inc()
	}
	return err
}

func (l *link) dispatch(m wire.Message) {
	switch m := m.(type) {
	case *wire.Hello:
		return
	case *wire.Stamp:
		if l.m.config.OnStamp != nil {
			l.m.config.OnStamp(m.Time)
		}
		return
	}
	l.deliver.Lock()
	defer l.deliver.Unlock()
	if !l.down && l.m.config.OnMessage != nil {
		l.m.config.OnMessage(l.hello.Instance, l.hello.Incarnation, m)
	}
}

// send queues a packet and wakes the writer. It never blocks.
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

func (l *link) write() {
	pause := time.NewTimer(0)
	defer pause.Stop()
	last := -batchWindow
	for l.await(pause) {
		now := l.m.clock()
		if rest := last + batchWindow - now; rest > 0 && !l.outbox.isUrgent() {
			pause.Reset(rest)
			continue
		}
		wrote, wait := l.writeFrame(now)
		if wrote {
			last = now
		}
		if wait > 0 {
			pause.Reset(wait)
		}
	}
}

// await waits for a queued message or the timer. It is false when the link is down.
func (l *link) await(pause *time.Timer) bool {
	select {
	case <-l.done:
		return false
	case <-l.wake:
		return true
	case <-pause.C:
		return true
	}
}

func (l *link) writeFrame(now time.Duration) (wrote bool, wait time.Duration) {
	buffer := frames.Get().(*[]byte)
	defer recycleFrame(buffer)
	stamp := l.m.stamp((*buffer)[:0])
	frame, wait := l.outbox.collect(stamp, now, l.m.budget, l.countSent)
	*buffer = frame
	if len(frame) == len(stamp) {
		return false, wait
	}
	l.m.counters.message(sent, wire.KindStamp, len(stamp))
	l.m.counters.frame(sent, headerBytes(len(frame), l.dialed()))
	// An error closes the connection, which ends read and thereby the link.
	_ = l.conn.Write(context.Background(), websocket.MessageBinary, frame)
	return true, wait
}

// stamp appends the logical time that goes with a frame.
func (m *Manager) stamp(frame []byte) []byte {
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
	l.m.counters.message(sent, p.kind, len(p.data))
}

// dialed tells whether this side opened the connection.
func (l *link) dialed() bool { return l.dialer == l.m.config.Self.Instance }

// headerBytes returns the size of a WebSocket frame header. The dialing side must mask.
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

// Buffers are shared by all links, since most links are idle.
var (
	buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}
	frames  = sync.Pool{New: func() any { return new([]byte) }}
)

func recycle(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBuffer {
		buffers.Put(b)
	}
}

func recycleFrame(b *[]byte) {
	if cap(*b) <= maxPooledBuffer {
		frames.Put(b)
	}
}
