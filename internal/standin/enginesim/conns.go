package enginesim

import (
	"context"
	"io"
	"net"
	"net/http"
)

// connection is one client connection. Once frozen it stays open and silent.
type connection struct {
	frozen chan struct{}
}

type connectionKey struct{}

func (e *Engine) connContext(ctx context.Context, conn net.Conn) context.Context {
	c := &connection{make(chan struct{})}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conns[conn] = c
	return context.WithValue(ctx, connectionKey{}, c)
}

func (e *Engine) connState(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, conn)
}

// freeze silences all open connections. The caller holds the lock.
func (e *Engine) freeze() {
	for conn, c := range e.conns {
		close(c.frozen)
		delete(e.conns, conn)
	}
}

// frozen returns a channel that is closed when the request's connection is silenced. It is
// nil, and never closed, when the engine is not served by Server.
func frozen(r *http.Request) <-chan struct{} {
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	if !ok {
		return nil
	}
	return c.frozen
}

// hang stays silent until the client closes the connection, if the connection is frozen.
func hang(r *http.Request) {
	select {
	case <-frozen(r):
		// The server notices a closed connection only once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
	}
}

// silenced wraps a handler so that a frozen connection stays silent.
func silenced(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		hang(r)
		next(w, r)
	}
}
