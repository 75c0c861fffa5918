// Package relay opens connections to engines, directly or through a peer.
//
// A Dialer carries out the decisions of package egress. A Server accepts connections of peers on the listener of the
// links and copies bytes between them and an engine. It decides nothing about requests: the instance that has the
// request chooses the engine, and counts and repeats attempts, as on a connection of its own.
//
// Bytes to the engine are copied as they are. Bytes from the engine travel in frames, and a frame of length 0 is the
// orderly end, so that a relay that is killed is not taken for an engine that has closed its connection. A reset of
// one side resets the other.
package relay

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/upstream"
)

const (
	// Path is the path of the relay on the listener of the links.
	Path = "/relay"
	// addrParameter names the engine's address in the query.
	addrParameter = "engine"
	protocolName  = "engine-relay"
	// accepted is the response after which the bytes of the connection begin. It has a fixed length, so that no byte
	// after it is read with it.
	accepted = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocolName + "\r\n\r\n"

	frameHeaderBytes = 4
	// maxFrameBytes is the longest frame, and the size of the buffer that each relayed connection holds.
	maxFrameBytes = 8 << 10
)

var (
	// errEngineUnreachable reports that the peer could not reach the engine, errNoHelp that the peer did not try, and
	// errDeclined that it knows no such engine.
	errEngineUnreachable = errors.New("the peer does not reach the engine")
	errNoHelp            = errors.New("the peer does not relay")
	errDeclined          = errors.New("the peer does not know the engine")
	errFrame             = errors.New("a frame of the relay is too long")
)

// conn is a connection to an engine through a peer.
type conn struct {
	*net.TCPConn
	// left is the rest of the current frame.
	left  int
	ended bool
}

// SingleUse marks the connection as one for one exchange: relays that stop wait for the exchanges under way, and the
// next connection may be a direct one again.
func (c *conn) SingleUse() {}

// Read implements net.Conn. It returns io.EOF only if the engine has closed its connection.
func (c *conn) Read(b []byte) (int, error) {
	if c.left == 0 {
		if err := c.readFrameHeader(); err != nil {
			return 0, err
		}
	}
	n, err := c.TCPConn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, unexpectedEnd(err)
}

func (c *conn) readFrameHeader() error {
	if c.ended {
		return io.EOF
	}
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(c.TCPConn, header[:]); err != nil {
		return unexpectedEnd(err)
	}
	size := binary.BigEndian.Uint32(header[:])
	switch {
	case size == 0:
		c.ended = true
		return io.EOF
	case size > maxFrameBytes:
		return errFrame
	}
	c.left = int(size)
	return nil
}

func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// dialPeer opens a connection to an engine through the peer at an address. It returns errEngineUnreachable if the peer
// did not reach the engine, errDeclined if it knows no such engine, and another error if it did not help.
func dialPeer(ctx context.Context, peerAddr, secret, engine string) (net.Conn, error) {
	opened, err := upstream.NewDialer(0).DialContext(ctx, "tcp", peerAddr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoHelp, err)
	}
	tcp := opened.(*net.TCPConn)
	stop := context.AfterFunc(ctx, func() { _ = tcp.SetDeadline(time.Unix(1, 0)) })
	err = handshake(tcp, secret, engine)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	return &conn{TCPConn: tcp}, nil
}

func handshake(tcp *net.TCPConn, secret, engine string) error {
	var request bytes.Buffer
	fmt.Fprintf(&request, "GET %s?%s HTTP/1.1\r\nHost: relay\r\nAuthorization: Bearer %s\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n",
		Path, url.Values{addrParameter: {engine}}.Encode(), secret, protocolName)
	if _, err := tcp.Write(request.Bytes()); err != nil {
		return fmt.Errorf("%w: %w", errNoHelp, err)
	}
	response := make([]byte, len(accepted))
	n, err := io.ReadFull(tcp, response)
	switch {
	case err == nil && string(response) == accepted:
		return nil
	case bytes.HasPrefix(response[:n], statusLine(http.StatusBadGateway)):
		return errEngineUnreachable
	case bytes.HasPrefix(response[:n], statusLine(http.StatusForbidden)):
		return errDeclined
	}
	line, _, _ := bytes.Cut(response[:n], []byte("\r\n"))
	return errors.Join(fmt.Errorf("%w: %q", errNoHelp, line), err)
}

func statusLine(status int) []byte { return fmt.Appendf(nil, "HTTP/1.1 %d ", status) }
