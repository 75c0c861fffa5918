package upstream

import (
	"errors"
	"os"
	"sync"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/httputil"
)

const (
	// companionInterval is the shortest time between two companions of one response.
	companionInterval = time.Second
	// restartTime is the shortest time in which an engine's process is replaced by another one at its address.
	restartTime = 100 * time.Millisecond
	// companionWait bounds the wait of the first part of a response for its companion, which takes a round trip.
	companionWait = 50 * time.Millisecond
)

// companion is a second connection to the engine of a response without length or chunks, opened while that goes on. It ends with the engine's
// process, and shows its end also if another process has the address by the time at which the end of the response is noticed.
type companion struct {
	mu      sync.Mutex
	stopped bool
	// conn is nil until it was opened, and once it has ended. opened is closed once it was opened, or could not be, done when it is not
	// watched any more.
	conn         *Conn
	opened, done chan struct{}
	// processEnded is set if the connection has ended with the response, and lateEnd if it was opened so long after the end that it
	// may be that of another process.
	processEnded, lateEnd bool
}

// keepCompanion opens a companion if the response goes on without one.
func (x *Exchange) keepCompanion() {
	now := time.Now()
	if now.Before(x.nextCompanion) || x.companion != nil && x.companion.serves(now) {
		return
	}
	first := x.nextCompanion.IsZero()
	x.nextCompanion = now.Add(companionInterval)
	switch {
	case !x.connEnded():
		x.dropCompanion()
		x.companion = &companion{opened: make(chan struct{}), done: make(chan struct{})}
		go x.watchCompanion(x.companion)
		if first {
			x.companion.awaitOpen()
		}
	case first:
		x.lateEnd = x.endedLongAgo()
	}
}

// awaitOpen waits until the companion is open, for companionWait at most. A caller that has received a part of the response then can't see
// its end without a companion, wherever this process stands still.
func (c *companion) awaitOpen() {
	timer := time.NewTimer(companionWait)
	defer timer.Stop()
	select {
	case <-c.opened:
	case <-timer.C:
	}
}

// endedLongAgo reports, of a response that has ended, whether another process may have the engine's address since.
func (x *Exchange) endedLongAgo() bool {
	since, err := httputil.SinceLastSegment(x.conn.netConn)
	return err == nil && since >= restartTime
}

// serves reports whether the companion is being opened, or is open and will not be closed as an idle connection soon.
func (c *companion) serves(now time.Time) bool {
	select {
	case <-c.done:
		return false
	default:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn == nil || now.Before(c.conn.expires)
}

// connEnded reports whether the connection of the response has ended, or that can't be told. Some of the response may be unread.
func (x *Exchange) connEnded() bool {
	pending, err := httputil.Peek(x.conn.netConn)
	return err != nil || pending.End
}

// watchCompanion opens a companion and waits for its end. An engine may close it as an idle connection while the response goes on.
func (x *Exchange) watchCompanion(c *companion) {
	defer close(c.done)
	conn, err := x.pool.Get(x.ctx, x.conn.addr)
	c.mu.Lock()
	c.conn = conn
	stopped := c.stopped
	c.mu.Unlock()
	ended := x.connEnded()
	c.lateEnd = ended && x.endedLongAgo()
	close(c.opened)
	if ended {
		return
	}
	if err != nil || stopped || c.watch(conn) {
		return
	}
	timer := time.NewTimer(exitTime)
	defer timer.Stop()
	<-timer.C
	c.processEnded = x.connEnded()
}

// watch waits until the connection ends, and returns false, or stop is called.
func (c *companion) watch(conn *Conn) bool {
	if _, err := conn.netConn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
	conn.Close()
	return false
}

// stop ends the watch. It returns the connection, or nil without one.
func (c *companion) stop() *Conn {
	c.mu.Lock()
	c.stopped = true
	if c.conn != nil {
		_ = c.conn.netConn.SetReadDeadline(time.Now())
	}
	c.mu.Unlock()
	<-c.done
	if c.conn != nil {
		_ = c.conn.netConn.SetReadDeadline(time.Time{})
	}
	return c.conn
}

// dropCompanion returns the companion to the pool.
func (x *Exchange) dropCompanion() {
	c := x.companion
	if c == nil {
		return
	}
	x.companion = nil
	go func() {
		if conn := c.stop(); conn != nil {
			x.pool.giveBack(conn, x.idleShare)
		}
	}()
}
