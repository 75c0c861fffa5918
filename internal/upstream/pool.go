// Package upstream pools HTTP/1.1 connections to engines and exchanges one request and response at a
// time on each.
//
// It never sends a request twice. Its errors distinguish a request of which no byte has left the
// process, which can't have run, from one that may have run.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/httputil"
)

const (
	// readBufferBytes is enough for the header of a response and a few events of a stream.
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	// defaultIdleLifetime is how long an idle connection is kept if the engine sends no Keep-Alive timeout.
	// Engines close idle connections after a time that not all of them send.
	defaultIdleLifetime = time.Second
	// keepAliveFraction is the fraction of the engine's Keep-Alive timeout during which a connection is
	// reused: the engine counts from when it sent the header.
	keepAliveFraction = 0.75
	// maxIdlePerEngine bounds the idle connections to one engine.
	maxIdlePerEngine = 16
	// dialTimeout bounds the time to open a connection. A round trip takes a few milliseconds, and a
	// lost SYN is only retransmitted after a second; trying another engine is faster.
	dialTimeout = 150 * time.Millisecond
	// lateTimer is how late a timer must fire to show that this process was suspended or has too little CPU time.
	lateTimer = 20 * time.Millisecond
)

var errDialTimeout = errors.New("dial timeout")

// NewDialer returns a dialer with a timeout, or none if it is 0, whose connections fail within about two seconds if the other
// side becomes unreachable.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2,
		},
		Control: setUserTimeout,
	}
}

// ListenConfig returns a configuration of listeners whose connections fail within about three seconds if the other side
// becomes unreachable. The other side's own probes, as those of NewDialer, put off the first probe of this side.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: 2 * time.Second, Interval: 500 * time.Millisecond, Count: 2,
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout sets the time for which data may stay unacknowledged. More means that the path is interrupted. The
// connections of a listener inherit it.
func setUserTimeout(_, _ string, c syscall.RawConn) error { return SetUserTimeout(c, 2*time.Second) }

// SetUserTimeout sets the time after which a connection fails if data stays unacknowledged, or the other side takes none.
func SetUserTimeout(c syscall.RawConn, d time.Duration) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not define.
const tcpUserTimeout = 18

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu     sync.Mutex
	idle   map[string][]*Conn
	closed bool
	// generation counts the calls of Flush.
	generation int
}

// NewPool returns an empty pool that opens connections with dial, or with NewDialer if it is nil. Open bounds their time.
func NewPool(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Pool {
	if dial == nil {
		dial = NewDialer(0).DialContext
	}
	return &Pool{dial: dial, idle: make(map[string][]*Conn)}
}

// Conn is a connection to an engine. It serves one exchange at a time.
type Conn struct {
	addr    string
	netConn net.Conn
	// reused is set once a response was received, also one to another request.
	reused bool
	// head bounds the bytes that reader reads while it reads the head of a response.
	head   *headLimit
	reader *bufio.Reader
	// expires is when the engine may close the idle connection, idleLifetime the time until then from
	// the end of an exchange.
	expires      time.Time
	idleLifetime time.Duration
	// singleUse is set if the connection carries one exchange only, generation the pool's when it was opened.
	singleUse  bool
	generation int
}

// SingleUse is implemented by connections that must not be kept after an exchange.
type SingleUse interface{ SingleUse() }

// Get returns an idle connection to an address, or opens one. It returns none of used, the connections that have
// carried the request before: a faulty engine may send a response again at the point where the next one is expected, and
// only the id of the request tells them apart.
func (p *Pool) Get(ctx context.Context, addr string, used ...*Conn) (*Conn, error) {
	for {
		c := p.take(addr, used)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.openAndEmpty() {
			return c, nil
		}
		c.Close()
	}
	return p.Open(ctx, addr)
}

// Open opens a connection.
func (p *Pool) Open(ctx context.Context, addr string) (*Conn, error) {
	p.mu.Lock()
	generation := p.generation
	p.mu.Unlock()
	dialCtx, stop := withDialTimeout(ctx)
	defer stop()
	conn, err := p.dial(dialCtx, "tcp", addr)
	if err != nil {
		if cause := context.Cause(dialCtx); cause != nil {
			err = fmt.Errorf("%w: %w", cause, err)
		}
		return nil, err
	}
	head := &headLimit{source: conn}
	_, singleUse := conn.(SingleUse)
	return &Conn{
		addr: addr, netConn: conn, head: head, reader: bufio.NewReaderSize(head, readBufferBytes),
		idleLifetime: defaultIdleLifetime, expires: time.Now().Add(defaultIdleLifetime),
		singleUse: singleUse, generation: generation,
	}, nil
}

// withDialTimeout returns a context that ends after dialTimeout. If the timeout is noticed late, the process has not looked for
// the connection meanwhile either, and the dial gets as much time again.
func withDialTimeout(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	due := time.Now().Add(dialTimeout)
	timer := time.AfterFunc(dialTimeout, func() {
		if time.Since(due) < lateTimer {
			cancel(errDialTimeout)
			return
		}
		time.AfterFunc(dialTimeout, func() { cancel(errDialTimeout) })
	})
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// headLimit reads from a connection. While limited is set, it fails once remaining bytes were read.
type headLimit struct {
	source    io.Reader
	limited   bool
	remaining int
}

// Read implements io.Reader.
func (l *headLimit) Read(b []byte) (int, error) {
	if !l.limited {
		return l.source.Read(b)
	}
	if l.remaining <= 0 {
		return 0, errLargeHead
	}
	n, err := l.source.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	return n, err
}

var errLargeHead = errors.New("the head of the response exceeds 64 KiB")

// take removes the idle connection to an address that was added last, except those in used, and returns it, or nil
// without one.
func (p *Pool) take(addr string, used []*Conn) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; !slices.Contains(used, c) {
			p.idle[addr] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// Put adds an idle connection whose exchange has ended cleanly, or closes it if the pool holds as many
// connections to the engine as share allows; see Request.IdleShare.
func (p *Pool) Put(c *Conn, share float64) {
	c.expires = time.Now().Add(c.idleLifetime)
	p.add(c, share)
}

// giveBack adds a connection that has carried nothing since Get or Open returned it.
func (p *Pool) giveBack(c *Conn, share float64) {
	if !time.Now().Before(c.expires) || !c.openAndEmpty() {
		c.Close()
		return
	}
	p.add(c, share)
}

func (p *Pool) add(c *Conn, share float64) {
	if c.singleUse || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.generation != p.generation || len(p.idle[c.addr]) >= idleLimit(share) {
		c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// idleLimit converts a share into a number of connections. A share below one yields 1 with that
// probability, so that it is met on average over all instances.
func idleLimit(share float64) int {
	switch {
	case share <= 0 || share >= maxIdlePerEngine:
		return maxIdlePerEngine
	case share >= 1:
		return int(share)
	case rand.Float64() < share:
		return 1
	}
	return 0
}

// IdleCount returns the number of idle connections.
func (p *Pool) IdleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Flush closes the idle connections to all engines, and each open one at the end of its exchange.
func (p *Pool) Flush() {
	p.mu.Lock()
	p.generation++
	idle := p.idle
	p.idle = make(map[string][]*Conn)
	p.mu.Unlock()
	closeAll(idle)
}

func closeAll(idle map[string][]*Conn) {
	for _, list := range idle {
		for _, c := range list {
			c.Close()
		}
	}
}

// Prune closes the connections that have been idle for longer than their engines keep them.
func (p *Pool) Prune() {
	now := time.Now()
	var old []*Conn
	p.mu.Lock()
	for addr, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				keep = append(keep, c)
			} else {
				old = append(old, c)
			}
		}
		if len(keep) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = keep
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = make(map[string][]*Conn)
	p.mu.Unlock()
	closeAll(idle)
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.netConn.Close() }

// openAndEmpty reports whether an idle connection is open and has no bytes to read, since bytes that
// arrive between exchanges belong to no request.
func (c *Conn) openAndEmpty() bool { return openAndEmpty(c.netConn) }

func openAndEmpty(conn net.Conn) bool {
	pending, err := httputil.Peek(conn)
	return err == nil && pending == httputil.Pending{} || errors.Is(err, errors.ErrUnsupported)
}

// AwaitsRead reports whether bytes, or the end of the connection, have arrived that were not read. It may be called during an exchange.
func (c *Conn) AwaitsRead() bool {
	pending, err := httputil.Peek(c.netConn)
	return err == nil && pending != httputil.Pending{}
}

// setIdleLifetime sets idleLifetime from the timeout in the engine's Keep-Alive header.
func (c *Conn) setIdleLifetime(header http.Header) {
	c.idleLifetime = defaultIdleLifetime
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.idleLifetime = time.Duration(keepAliveFraction * float64(seconds) * float64(time.Second))
		}
	}
}
