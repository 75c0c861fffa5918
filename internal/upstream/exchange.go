package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/httputil"
)

const (
	// maxInlineWriteBytes is the size up to which a request is written before its response is read. Larger
	// requests are written while the response is read, because an engine may respond before it has read
	// the body, and its receive window may be small.
	maxInlineWriteBytes = 4 << 10
	// maxForeignResponses bounds the responses to other requests that are skipped on one connection.
	maxForeignResponses = 4
	// maxForeignBytes bounds the body of a skipped response.
	maxForeignBytes = 1 << 20
	// maxInterimResponses bounds the 1xx responses before the final one.
	maxInterimResponses = 8
	// writeCompletionTimeout bounds how long a request is still written after its response has ended. The
	// last write usually returns microseconds after the response; a longer one means that the engine
	// responded before it read the body.
	writeCompletionTimeout = time.Second
)

var (
	// ErrUnsent reports that no byte of the request has left the process.
	ErrUnsent = errors.New("upstream: request was not sent")
	// ErrBroken reports that the exchange failed after bytes of the request may have left the process.
	ErrBroken = errors.New("upstream: exchange broke off")

	errStatus = errors.New("the status of the response is not a final HTTP status")
)

// Request is a request to an engine, with the body in memory.
type Request struct {
	Method string
	// Target is the path and query of the request line as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IdleShare is the number of idle connections to the engine that may be kept after the exchange.
	// Below one it is the probability that one is kept. 0 means that the engine sets no limit.
	IdleShare float64
}

// Exchange is one request and its response.
type Exchange struct {
	ctx              context.Context
	conn             *Conn
	pool             *Pool
	stopContextWatch func() bool
	// openSides counts the sides, writer and reader, that still use the connection. The last one returns
	// it to the pool or closes it.
	openSides atomic.Int32
	unusable  atomic.Bool
	idleShare float64
	// written is closed once the write of the request has ended, with writeErr.
	written  chan struct{}
	writeErr error
	// Response is the header of the response. Read its body with Read.
	Response *http.Response
	bodyRead bool
	// companion is nil without one. No other one is opened before nextCompanion. lateEnd is set if there was none because the response
	// had ended long before it was read.
	companion     *companion
	nextCompanion time.Time
	lateEnd       bool
}

// Owner tells whose response a response is.
type Owner uint8

// Owners of a response.
const (
	// OtherRequest: the response belongs to another request and is skipped.
	OtherRequest Owner = iota
	// ThisRequest: the response belongs to the request.
	ThisRequest
	// UnnamedRequest: the response does not say to which request it belongs. It can only be the request's own
	// if the connection has carried no other response: a faulty engine may send an earlier response again.
	UnnamedRequest
)

// Do sends a request on a connection and reads the header of its response. ownerOf tells from a response's
// header whose it is. The connection is closed when ctx ends.
//
// The error is ErrUnsent or ErrBroken.
func (p *Pool) Do(ctx context.Context, c *Conn, req *Request, ownerOf func(*http.Response) Owner) (*Exchange, error) {
	x := &Exchange{ctx: ctx, conn: c, pool: p, idleShare: req.IdleShare, written: make(chan struct{})}
	x.openSides.Store(2)
	x.stopContextWatch = context.AfterFunc(ctx, c.Close)
	if ctx.Err() != nil {
		x.Abort()
		return nil, fmt.Errorf("%w: %w", ErrUnsent, ctx.Err())
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.netConn.SetDeadline(deadline)
	} else {
		_ = c.netConn.SetDeadline(time.Time{})
	}
	if err := x.write(req); err != nil {
		x.Abort()
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if err := x.readHead(req, ownerOf); err != nil {
		x.Abort()
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	c.reused = true
	c.setIdleLifetime(x.Response.Header)
	return x, nil
}

func (x *Exchange) write(req *Request) error {
	data := encode(req)
	if len(data) <= maxInlineWriteBytes {
		x.writeData(data)
		return x.writeErr
	}
	go x.writeData(data)
	return nil
}

func (x *Exchange) writeData(data []byte) {
	_, x.writeErr = x.conn.netConn.Write(data)
	clean := x.writeErr == nil
	close(x.written)
	x.release(clean)
}

// release ends the use of the connection by one side. The last side returns it to the pool if both ended
// cleanly.
func (x *Exchange) release(clean bool) {
	if !clean {
		x.unusable.Store(true)
	}
	if x.openSides.Add(-1) > 0 {
		return
	}
	if x.unusable.Load() {
		x.conn.Close()
		return
	}
	_ = x.conn.netConn.SetDeadline(time.Time{})
	x.pool.Put(x.conn, x.idleShare)
}

func encode(req *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(req.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, req.Host)
	_ = req.Header.Write(&b)
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(req.Body))
	}
	b.WriteString("\r\n")
	b.Write(req.Body)
	return b.Bytes()
}

// readHead reads response headers until one belongs to the request.
func (x *Exchange) readHead(req *Request, ownerOf func(*http.Response) Owner) error {
	// http.ReadResponse needs the method to know whether the response has a body.
	methodRequest := &http.Request{Method: req.Method}
	interim, foreign := 0, 0
	for {
		res, err := x.conn.readResponse(methodRequest)
		if err != nil {
			return err
		}
		if httputil.IsInterimStatus(res.StatusCode) {
			if interim++; interim > maxInterimResponses {
				return errors.New("too many interim responses before the final one")
			}
			continue
		}
		if res.StatusCode == http.StatusSwitchingProtocols {
			return errStatus
		}
		owner := ownerOf(res)
		switch {
		case owner != OtherRequest && !httputil.IsFinalStatus(res.StatusCode):
			return errStatus
		case owner == ThisRequest, owner == UnnamedRequest && !x.conn.reused:
			x.Response = res
			return nil
		case owner == UnnamedRequest:
			return errors.New("the connection was used before and the response does not name its request")
		default:
			if foreign++; foreign > maxForeignResponses || res.Close || res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
				return errors.New("response belongs to another request")
			}
			if n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxForeignBytes)); err != nil || n == maxForeignBytes {
				return errors.New("response to another request could not be skipped")
			}
			x.conn.reused = true
		}
	}
}

// readResponse reads the head of a response.
func (c *Conn) readResponse(req *http.Request) (*http.Response, error) {
	c.head.limited, c.head.remaining = true, maxHeadBytes
	defer func() { c.head.limited = false }()
	return http.ReadResponse(c.reader, req)
}

// Read reads the response's body. It returns io.EOF only at the end of a complete body, and ErrUnmarkedEnd if the body ends with the
// connection of an engine that has gone.
func (x *Exchange) Read(b []byte) (int, error) {
	unmarked := x.EndsWithConnection() && !x.bodyRead
	if unmarked {
		x.keepCompanion()
	}
	n, err := x.Response.Body.Read(b)
	if err != io.EOF {
		return n, err
	}
	if unmarked {
		if err := x.confirmEnd(); err != nil {
			return n, err
		}
	}
	x.bodyRead = true
	return n, io.EOF
}

// SetReadTimeout bounds the time until the rest of the response has been read.
func (x *Exchange) SetReadTimeout(d time.Duration) {
	_ = x.conn.netConn.SetReadDeadline(time.Now().Add(d))
}

// Finish ends an exchange. The connection is kept if the response was read to its end, the request was
// written completely, and the engine keeps the connection open too. Finish does not wait for a request
// that is still being written.
func (x *Exchange) Finish() {
	x.dropCompanion()
	reusable := x.bodyRead && !x.Response.Close && !x.EndsWithConnection()
	// If the watch can no longer be stopped, the end of the context has closed the connection.
	if !x.stopContextWatch() || !reusable {
		x.conn.Close()
		x.release(false)
		return
	}
	_ = x.conn.netConn.SetDeadline(time.Now().Add(writeCompletionTimeout))
	x.release(true)
}

// Abort closes the connection.
func (x *Exchange) Abort() {
	x.dropCompanion()
	x.stopContextWatch()
	x.conn.Close()
}
