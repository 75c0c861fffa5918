package httputil_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/httputil"
)

// Guards against forwarding headers that apply to a single connection.
func TestRemoveHopByHop(t *testing.T) {
	header := http.Header{
		"Connection": {"X-One, x-two", "close"}, "X-One": {"1"}, "X-Two": {"2"}, "X-Three": {"3"},
		"Te": {"trailers"}, "Transfer-Encoding": {"chunked"}, "Content-Type": {"text/plain"},
	}
	httputil.RemoveHopByHop(header)
	require.Equal(t, http.Header{"X-Three": {"3"}, "Content-Type": {"text/plain"}}, header)
}
