package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/bilberrywell/bilberrywell/internal/upstream"
)

// unframed reports whether a response has a body with neither a length nor chunks, which the end of its connection ends.
func unframed(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Request.Method != http.MethodHead
}

// confirmEnd makes the end of an unframed body count only if the engine at addr accepts another connection that lasts. The kernel closes the
// sockets of a process that is killed as the process would at the end of the body.
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

// confirm returns io.EOF, or an error unless the end is confirmed.
func (b *unframedBody) confirm() error {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(b.ctx, "tcp", b.addr)
	if err != nil {
		return fmt.Errorf("%w: %w", upstream.ErrUnmarkedEnd, err)
	}
	defer func() { _ = conn.Close() }()
	if err := upstream.AwaitLasting(b.ctx, conn); err != nil {
		return err
	}
	return io.EOF
}
