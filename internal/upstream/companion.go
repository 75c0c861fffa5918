package upstream

import (
	"time"

	"github.com/bilberrywell/bilberrywell/internal/httputil"
)

// companionInterval is the shortest time between two companions of one response.
const companionInterval = time.Second

// companion is a second connection to the engine of a response without length or chunks, opened while that goes on. It ends with the engine's
// process, and shows its end also if another process has the address by the time at which the end of the response is noticed.
type companion struct {
	// dialed is closed once the connection was opened, or could not be.
	dialed chan struct{}
	// conn is nil if it could not be opened. within reports whether the response had not ended when it was open.
	conn   *Conn
	within bool
}

// keepCompanion opens a companion if the response goes on without one. An engine may close it as an idle connection: if there is more of
// the response afterwards, its process goes on.
func (x *Exchange) keepCompanion() {
	now := time.Now()
	if now.Before(x.nextCompanion) || x.companion != nil && !x.companion.lost() {
		return
	}
	if pending, err := httputil.Peek(x.conn.netConn); err != nil || pending.End {
		return
	}
	x.dropCompanion()
	x.nextCompanion = now.Add(companionInterval)
	x.companion = &companion{dialed: make(chan struct{})}
	go x.open(x.companion)
}

func (x *Exchange) open(c *companion) {
	defer close(c.dialed)
	conn, err := x.pool.Get(x.ctx, x.conn.addr)
	if err != nil {
		return
	}
	pending, err := httputil.Peek(x.conn.netConn)
	c.conn, c.within = conn, err == nil && !pending.End
}

// lost reports whether the connection could not be opened, or has ended.
func (c *companion) lost() bool {
	select {
	case <-c.dialed:
		return c.conn == nil || !c.conn.openAndEmpty()
	default:
		return false
	}
}

// dropCompanion returns the companion to the pool.
func (x *Exchange) dropCompanion() {
	c := x.companion
	if c == nil {
		return
	}
	x.companion = nil
	go func() {
		<-c.dialed
		if c.conn != nil {
			x.pool.giveBack(c.conn, x.idleShare)
		}
	}()
}

// takeCompanion returns the connection of a companion that was opened while the response went on, or nil without one.
func (x *Exchange) takeCompanion() *Conn {
	c := x.companion
	if c == nil {
		return nil
	}
	if <-c.dialed; !c.within {
		return nil
	}
	x.companion = nil
	return c.conn
}
