package peer

import (
	"bufio"
	"net"
	"net/http"
)

// linkBufferBytes is the size of the read and the write buffer of an accepted connection. It holds the status reports,
// notices and loads of a few dozen engines that make up most frames; the rest of a larger frame bypasses the buffers.
const linkBufferBytes = 1024

// hijackedWriter gives the connection that an upgrade takes over small buffers in place of those of the HTTP server,
// which have 4 KB each and would stay with the link. A dialed connection has buffers that package websocket makes.
type hijackedWriter struct{ http.ResponseWriter }

// Hijack implements http.Hijacker.
func (w hijackedWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, buffers, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err != nil || buffers.Reader.Buffered() > 0 {
		// Bytes that have been read already stay in their buffer.
		return conn, buffers, err
	}
	return conn, bufio.NewReadWriter(bufio.NewReaderSize(conn, linkBufferBytes), bufio.NewWriterSize(conn, linkBufferBytes)), nil
}
