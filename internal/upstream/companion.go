package upstream

import (
	"errors"
	"os"
	"sync"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/httputil"
)

// companionInterval is the shortest time between two companions of one response.
const companionInterval = time.Second

// companion is a second connection to the engine of a response without length or chunks, opened while that goes on. It ends with the engine's
// process, and shows its end also if another process has the address by the time at which the end of the response is noticed.
type companion struct {
	mu      sync.Mutex
	stopped bool
	// conn is nil until it was opened, and once it has ended. done is closed when it is no longer watched.
	conn *Conn
	done chan struct{}
	// processEnded is set if the connection has ended with the response.
	processEnded bool
}

// keepCompanion opens a companion if the response goes on without one.
func (x *Exchange) keepCompanion() {
	if now := time.Now(); !now.Before(x.nextCompanion) && (x.companion == nil || x.companion.over()) && !x.connEnded() {
		x.nextCompanion = now.Add(companionInterval)
		x.companion = &companion{done: make(chan struct{})}
		go x.watchCompanion(x.companion)
	}
}

// over reports whether the companion could not be opened or has ended.
func (c *companion) over() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
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
	if err != nil {
		return
	}
	if x.connEnded() {
		x.pool.giveBack(conn, x.idleShare)
		return
	}
	if c.watch(conn) {
		return
	}
	timer := time.NewTimer(exitTime)
	defer timer.Stop()
	<-timer.C
	c.processEnded = x.connEnded()
}

// watch waits until the connection ends, and returns false, or stop is called.
func (c *companion) watch(conn *Conn) bool {
	c.mu.Lock()
	stopped := c.stopped
	c.conn = conn
	c.mu.Unlock()
	if stopped {
		return true
	}
	if _, err := conn.netConn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		return conn.netConn.SetReadDeadline(time.Time{}) == nil
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
