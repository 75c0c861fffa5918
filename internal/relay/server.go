package relay

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/upstream"
)

const (
	// relayDialTimeout bounds the dial of a relay. The dialing instance gives up soon after it.
	relayDialTimeout = 70 * time.Millisecond
	// maxRelayed bounds the connections that an instance relays. Each has two descriptors and 12 KB of buffers.
	maxRelayed = 512
	// closeTimeout bounds how long one side stays open after the other side has been closed.
	closeTimeout = time.Second
	// peerTimeout is how long a peer may take no bytes: longer than the 5 s for which an instance waits for a caller that
	// does not read.
	peerTimeout     = 10 * time.Second
	requestBufBytes = 4 << 10
)

// Server relays connections of peers to engines.
type Server struct {
	// Authorized reports whether a request comes from an instance of the fleet.
	Authorized func(r *http.Request) bool
	// Serves reports whether the instance knows an address as that of an engine that takes requests.
	Serves func(addr string) bool
	// Dialer opens the connections, only directly, so that relays never form a chain.
	Dialer *Dialer

	mu       sync.Mutex
	open     map[*pair]bool
	stopping bool
	closed   bool
}

var errNoTCP = errors.New("the connection to the engine is no TCP connection")

// pair is a relayed connection.
type pair struct {
	peer, engine *net.TCPConn

	// writing is held during a write to the engine. writeErr is the error of the last one.
	writing  sync.Mutex
	writeErr error
}

// ServeHTTP accepts a connection. It answers 502 if the engine can't be reached, 503 if the instance can't tell, and 403
// for an address that is no engine's.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	addr := r.URL.Query().Get(addrParameter)
	status := s.refusal(r, addr)
	if status == http.StatusServiceUnavailable && s.Serves(addr) {
		// Peers ask an instance without requests of its own too.
		s.Dialer.checkIfDue(addr)
	}
	if status != 0 {
		s.refuse(w, status)
		return
	}
	engine, err := s.Dialer.dialForPeer(r.Context(), addr)
	if err != nil {
		status = http.StatusBadGateway
		if s.Dialer.doubtful() {
			status = http.StatusServiceUnavailable
		}
		s.refuse(w, status)
		return
	}
	hijacked, buffers, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = engine.Close()
		return
	}
	peer, ok := hijacked.(*net.TCPConn)
	if !ok || buffers.Reader.Buffered() > 0 {
		_ = hijacked.Close()
		_ = engine.Close()
		return
	}
	go s.run(&pair{peer: peer, engine: engine})
}

// refusal returns the status with which a request is refused, or 0.
func (s *Server) refusal(r *http.Request, addr string) int {
	s.mu.Lock()
	full := s.stopping || len(s.open) >= maxRelayed
	s.mu.Unlock()
	switch {
	case !s.Authorized(r):
		return http.StatusUnauthorized
	case full || s.Dialer.CutOff():
		return http.StatusServiceUnavailable
	case !s.Serves(addr):
		return http.StatusForbidden
	}
	return 0
}

func (s *Server) refuse(w http.ResponseWriter, status int) {
	s.Dialer.metrics.countRefusal(status)
	w.Header().Set("Connection", "close")
	http.Error(w, http.StatusText(status), status)
}

// run copies both ways until both sides have ended.
func (s *Server) run(p *pair) {
	if !s.add(p) {
		p.reset()
		return
	}
	defer s.remove(p)
	_ = p.peer.SetDeadline(time.Time{})
	if raw, err := p.peer.SyscallConn(); err == nil {
		_ = upstream.SetUserTimeout(raw, peerTimeout)
	}
	if _, err := p.peer.Write([]byte(accepted)); err != nil {
		p.reset()
		return
	}
	s.Dialer.metrics.relayed.Inc()
	var sides sync.WaitGroup
	sides.Go(p.copyRequest)
	sides.Go(p.copyResponse)
	sides.Wait()
	_ = p.engine.Close()
	_ = p.peer.Close()
}

func (s *Server) add(p *pair) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.open) >= maxRelayed {
		return false
	}
	if s.open == nil {
		s.open = make(map[*pair]bool)
	}
	s.open[p] = true
	return true
}

func (s *Server) remove(p *pair) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, p)
}

// Open returns the number of relayed connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Stop refuses new connections. Those that are open go on.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// Close resets the connections that are open.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping, s.closed = true, true
	for p := range s.open {
		p.reset()
	}
}

// copyRequest copies bytes to the engine. When the peer closes its connection, the engine has closeTimeout to end.
func (p *pair) copyRequest() {
	buffer := make([]byte, requestBufBytes)
	for {
		n, err := p.peer.Read(buffer)
		if p.writeToEngine(buffer[:n]) != nil {
			// The engine does not read. What it has answered decides how the connection ends.
			_, _ = io.Copy(io.Discard, struct{ io.Reader }{p.peer})
			return
		}
		if err == io.EOF {
			_ = p.engine.CloseWrite()
			_ = p.engine.SetReadDeadline(time.Now().Add(closeTimeout))
			return
		}
		if err != nil {
			p.reset()
			return
		}
	}
}

// copyResponse copies bytes to the peer in frames. An end of the engine's connection that is not orderly resets the
// peer's.
func (p *pair) copyResponse() {
	buffer := make([]byte, frameHeaderBytes+maxFrameBytes)
	for {
		n, err := p.engine.Read(buffer[frameHeaderBytes:])
		if n > 0 && !p.writeFrame(buffer, n) {
			p.reset()
			return
		}
		if err == io.EOF && p.writeMetReset() {
			p.reset()
			return
		}
		if err == io.EOF {
			p.writeFrame(buffer, 0)
			_ = p.peer.CloseWrite()
			_ = p.peer.SetReadDeadline(time.Now().Add(closeTimeout))
			return
		}
		if err != nil {
			p.reset()
			return
		}
	}
}

func (p *pair) writeToEngine(b []byte) error {
	p.writing.Lock()
	defer p.writing.Unlock()
	_, p.writeErr = p.engine.Write(b)
	return p.writeErr
}

// writeMetReset reports, at the end of the engine's connection, whether that stands for an error that a write has met: the kernel reports it
// once. It ends the write.
func (p *pair) writeMetReset() bool {
	_ = p.engine.SetWriteDeadline(time.Now())
	p.writing.Lock()
	defer p.writing.Unlock()
	// EPIPE follows a reset after the engine has ended its side of the connection.
	return p.writeErr != nil && !errors.Is(p.writeErr, os.ErrDeadlineExceeded) && !errors.Is(p.writeErr, syscall.EPIPE)
}

func (p *pair) writeFrame(buffer []byte, n int) bool {
	binary.BigEndian.PutUint32(buffer, uint32(n))
	_, err := p.peer.Write(buffer[:frameHeaderBytes+n])
	return err == nil
}

// reset ends both connections with a reset.
func (p *pair) reset() {
	for _, c := range []*net.TCPConn{p.peer, p.engine} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// dialForPeer opens a direct connection for a peer.
func (d *Dialer) dialForPeer(ctx context.Context, engine string) (*net.TCPConn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	opened, err := d.direct(ctx, engine)
	if err != nil {
		return nil, err
	}
	tcp, ok := opened.(*net.TCPConn)
	if !ok {
		_ = opened.Close()
		return nil, errNoTCP
	}
	return tcp, nil
}
