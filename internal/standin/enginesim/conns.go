package enginesim

import (
	"context"
	"io"
	"net"
	"net/http"
)

// connection is one client connection. Once frozen is closed, the connection stays open but
// nothing more is written to it.
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

// freezeConnections freezes all open connections. The caller holds the lock.
func (e *Engine) freezeConnections() {
	for conn, c := range e.conns {
		close(c.frozen)
		delete(e.conns, conn)
	}
}

// frozen returns a channel that is closed when the request's connection is frozen. It returns nil,
// which never becomes ready, if the engine is not served by Server.
func frozen(r *http.Request) <-chan struct{} {
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	if !ok {
		return nil
	}
	return c.frozen
}

// hangIfFrozen returns at once unless the connection is frozen. On a frozen connection it blocks
// until the client closes the connection, and then aborts the handler.
func hangIfFrozen(r *http.Request) {
	select {
	case <-frozen(r):
		// net/http detects a closed connection only after the request body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
	}
}

// respectFreeze wraps a handler so that it does not respond on a frozen connection.
func respectFreeze(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		hangIfFrozen(r)
		next(w, r)
	}
}
