package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// errUnconfirmedEnd reports a body with neither a length nor chunks that has ended with its connection, and an engine that accepts
// no other one, or ends that one too.
var errUnconfirmedEnd = errors.New("daemon: the response ended with its connection, and the engine has gone")

// exitTime is how long after a connection a process that ends closes its listener, at most. That resets the connections in its queue.
const exitTime = 50 * time.Millisecond

// unframed reports whether a response has a body with neither a length nor chunks, which the end of its connection ends.
func unframed(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Request.Method != http.MethodHead
}

// confirmEnd makes the end of an unframed body count only if the engine at addr accepts another connection and keeps it open. The
// kernel closes the sockets of a process that is killed as the process would at the end of the body, in any order.
func confirmEnd(ctx context.Context, res *http.Response, addr string) {
	if unframed(res) {
		res.Body = &unframedBody{ReadCloser: res.Body, ctx: ctx, addr: addr}
	}
}

type unframedBody struct {
	io.ReadCloser
	ctx  context.Context
	addr string
	// end is the error of the read that met the end.
	end error
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = b.confirm()
	}
	b.end = err
	return n, err
}

// confirm returns io.EOF or errUnconfirmedEnd.
func (b *unframedBody) confirm() error {
	conn, err := dial(b.ctx, "tcp", b.addr)
	if err != nil {
		return fmt.Errorf("%w: %w", errUnconfirmedEnd, err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(exitTime))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		return errUnconfirmedEnd
	}
	return io.EOF
}
