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
)

const (
	// inlineBytes is the size up to which a request is written before its answer is read. Larger
	// ones are written meanwhile: an engine may answer before it has read the body, and its
	// receive window may be small.
	inlineBytes = 4 << 10
	// maxForeign bounds the answers to other requests that are skipped on one connection.
	maxForeign = 4
	// maxForeignBytes bounds the body of a skipped answer.
	maxForeignBytes = 1 << 20
	// maxInterim bounds the 1xx answers before the final one.
	maxInterim = 8
	// writeSettle bounds how long a request is still written after its answer has ended. The last
	// write usually returns microseconds after the answer; a longer one means that the engine answered
	// before it read the body.
	writeSettle = time.Second
)

var (
	// ErrUnsent reports that no byte of the request has left.
	ErrUnsent = errors.New("upstream: request was not sent")
	// ErrBroken reports that the exchange failed after bytes may have left.
	ErrBroken = errors.New("upstream: exchange broke off")
)

// Request is a request to an engine, with the body in memory.
type Request struct {
	Method string
	// Target is the request line's path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IdleShare is the number of idle connections that may be kept to the engine afterwards. Below
	// one it is the probability that one is kept. 0 stands for no limit of the engine's.
	IdleShare float64
}

// Exchange is one request and its answer.
type Exchange struct {
	conn *Conn
	pool *Pool
	stop func() bool
	// unfinished counts the sides, writer and reader, that still use the connection. The last one
	// keeps or closes it.
	unfinished atomic.Int32
	unusable   atomic.Bool
	idleShare  float64
	// Response is the head of the answer. Its body is read by Read.
	Response *http.Response
	done     bool
}

// Do sends a request on a connection and reads the head of its answer. Mine tells whether a
// head belongs to this request; others are skipped. The connection is closed when ctx ends.
//
// The error is ErrUnsent or ErrBroken.
func (p *Pool) Do(ctx context.Context, c *Conn, req *Request, mine func(*http.Response) bool) (*Exchange, error) {
	x := &Exchange{conn: c, pool: p, idleShare: req.IdleShare}
	x.unfinished.Store(2)
	x.stop = context.AfterFunc(ctx, c.Close)
	if ctx.Err() != nil {
		x.Abort()
		return nil, fmt.Errorf("%w: %w", ErrUnsent, ctx.Err())
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.net.SetDeadline(deadline)
	} else {
		_ = c.net.SetDeadline(time.Time{})
	}
	if err := x.write(req); err != nil {
		x.Abort()
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if err := x.readHead(req, mine); err != nil {
		x.Abort()
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	c.noteIdle(x.Response.Header)
	return x, nil
}

func (x *Exchange) write(req *Request) error {
	data := encode(req)
	if len(data) <= inlineBytes {
		_, err := x.conn.net.Write(data)
		x.release(err == nil)
		return err
	}
	go func() {
		_, err := x.conn.net.Write(data)
		x.release(err == nil)
	}()
	return nil
}

// release ends the use of the connection by one side. The last side keeps it if both ended cleanly.
func (x *Exchange) release(clean bool) {
	if !clean {
		x.unusable.Store(true)
	}
	if x.unfinished.Add(-1) > 0 {
		return
	}
	if x.unusable.Load() {
		x.conn.Close()
		return
	}
	_ = x.conn.net.SetDeadline(time.Time{})
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

// readHead reads answers until one belongs to the request.
func (x *Exchange) readHead(req *Request, mine func(*http.Response) bool) error {
	// http.ReadResponse needs the method to know whether the answer has a body.
	method := &http.Request{Method: req.Method}
	interim, foreign := 0, 0
	for {
		res, err := http.ReadResponse(x.conn.reader, method)
		if err != nil {
			return err
		}
		switch {
		case res.StatusCode >= 100 && res.StatusCode < 200:
			if interim++; interim > maxInterim {
				return errors.New("too many interim answers")
			}
		case mine(res):
			x.Response = res
			return nil
		default:
			if foreign++; foreign > maxForeign || res.Close || res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
				return errors.New("the answer belongs to another request")
			}
			if n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxForeignBytes)); err != nil || n == maxForeignBytes {
				return errors.New("the answer to another request did not end")
			}
		}
	}
}

// Read reads the answer's body. It returns io.EOF at its end only if the body is whole.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.Response.Body.Read(b)
	if err == io.EOF {
		x.done = true
	}
	return n, err
}

// Finish ends an exchange. The connection is kept if the answer was read to its end, the request
// has left as a whole, and the engine keeps it too. Finish does not wait for a request that is still
// being written.
func (x *Exchange) Finish() {
	reusable := x.done && !x.Response.Close &&
		(x.Response.ContentLength >= 0 || len(x.Response.TransferEncoding) > 0)
	// A stop that comes too late means that the context has closed the connection.
	if !x.stop() || !reusable {
		x.conn.Close()
		x.release(false)
		return
	}
	_ = x.conn.net.SetDeadline(time.Now().Add(writeSettle))
	x.release(true)
}

// Abort closes the connection.
func (x *Exchange) Abort() {
	x.stop()
	x.conn.Close()
}
