package httputil

import (
	"net/http"
	"strings"
)

// hopByHopHeaders lists the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the headers that apply to a single connection, including those that the
// Connection header lists.
func RemoveHopByHop(header http.Header) {
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
