package httputil

import (
	"fmt"
	"net/http"
	"time"
)

// IdleSlack is how much longer than announced a server keeps an idle connection, so that it is never closed while a
// caller that keeps to the timeout sends a request on it.
const IdleSlack = 2 * time.Second

// AnnounceIdle announces in the header of a response, in whole seconds, for how long the connection stays open for another
// request. It announces nothing after which the connection closes, and no timeout below a second.
func AnnounceIdle(header http.Header, r *http.Request, timeout time.Duration) {
	if r.Close || !r.ProtoAtLeast(1, 1) || header.Get("Connection") != "" || timeout < time.Second {
		return
	}
	header.Set("Keep-Alive", fmt.Sprintf("timeout=%d", timeout/time.Second))
}
