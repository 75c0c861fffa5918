// Package httputil holds the HTTP helpers that the daemon and the gateway share.
package httputil

import (
	"context"
	"errors"
	"net"
	"net/http"

	"k8s.io/klog/v2"
)

// Server is an HTTP server with its listener.
type Server struct {
	// Name identifies the listener in logs.
	Name     string
	Listener net.Listener
	HTTP     *http.Server
}

// Serve accepts connections until the server is shut down or closed, or its listener is closed. If it ends for another reason,
// the error is logged.
func (s *Server) Serve() {
	if err := s.HTTP.Serve(s.Listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		klog.ErrorS(err, "listener failed", "listener", s.Name)
	}
}

// Shutdown stops accepting connections and waits for open requests until ctx ends. Then it closes
// the remaining connections.
func (s *Server) Shutdown(ctx context.Context) {
	if err := s.HTTP.Shutdown(ctx); err != nil {
		_ = s.HTTP.Close()
	}
}

// CloseWrite closes the sending side of a connection. A listener's connections need a method that calls it: with it net/http ends a
// response after which it closes the connection, although bytes of the request that are still on their way reset that.
func CloseWrite(conn net.Conn) error {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// CloseListeners closes the listeners of servers on which Serve was not called.
func CloseListeners(servers []*Server) {
	for _, s := range servers {
		_ = s.Listener.Close()
	}
}
