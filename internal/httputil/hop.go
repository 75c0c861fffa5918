package httputil

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that belong to one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the headers of one connection, those that Connection names included.
func RemoveHopByHop(header http.Header) {
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}
