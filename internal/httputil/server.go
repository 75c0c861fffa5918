// Package httputil holds the parts of HTTP that the daemon and the gateway share.
package httputil

import (
	"context"
	"errors"
	"net"
	"net/http"

	"k8s.io/klog/v2"
)

// Server is one listener with its handler.
type Server struct {
	// Name tells the listeners of a process apart in logs.
	Name     string
	Listener net.Listener
	HTTP     *http.Server
}

// Serve accepts connections until the server is shut down or closed. Other ends are logged.
func (s *Server) Serve() {
	if err := s.HTTP.Serve(s.Listener); !errors.Is(err, http.ErrServerClosed) {
		klog.ErrorS(err, "listener failed", "listener", s.Name)
	}
}

// Shutdown waits for open requests until ctx ends, then closes their connections.
func (s *Server) Shutdown(ctx context.Context) {
	if err := s.HTTP.Shutdown(ctx); err != nil {
		_ = s.HTTP.Close()
	}
}

// CloseListeners closes the listeners of servers that have not served yet.
func CloseListeners(servers []*Server) {
	for _, s := range servers {
		_ = s.Listener.Close()
	}
}
