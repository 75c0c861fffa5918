package simutil

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/oops"
)

// maxJSONBytes bounds the body of a JSON request.
const maxJSONBytes = 16 << 20

// WriteJSON responds with status and value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// WriteError responds with status and {"error": message}.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, map[string]string{"error": message})
}

// ReadJSON decodes the request's body into target. On failure it responds with 400 and returns
// false. An unknown field is a failure, so that a misspelt fault is not ignored.
func ReadJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxJSONBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// QueryUint returns a query parameter as an unsigned number, or 0 if it is missing or invalid.
func QueryUint(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n
}

// QueryMillis returns a query parameter in milliseconds as a duration of at most one minute.
func QueryMillis(r *http.Request, name string) time.Duration {
	return min(Milliseconds(int(min(QueryUint(r, name), 60_000))), time.Minute)
}

// Milliseconds returns n milliseconds as a duration.
func Milliseconds(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// Sleep waits for d or until ctx ends. It reports whether d passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Server is a running HTTP server of a stand-in.
type Server struct {
	// Addr is the address in host:port form.
	Addr string
	// URL is the base URL, without a trailing slash.
	URL    string
	server *http.Server
}

// Start serves server on addr, a loopback address whose port may be 0.
func Start(addr string, server *http.Server) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, oops.Wrapf(err, "listen on %s", addr)
	}
	if tcp, ok := listener.Addr().(*net.TCPAddr); !ok || !tcp.IP.IsLoopback() {
		_ = listener.Close()
		return nil, oops.Errorf("address %s is not a loopback address", addr)
	}
	go func() { _ = server.Serve(listener) }()
	bound := listener.Addr().String()
	return &Server{Addr: bound, URL: "http://" + bound, server: server}, nil
}

// Close stops the server and closes its connections.
func (s *Server) Close() error {
	return s.server.Close()
}
