package simutil

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two calls that return the same address before the first caller listens on it,
// which kept gateways of the soak test from starting.
func TestFreeAddrsDoNotRepeat(t *testing.T) {
	seen := map[string]bool{}
	for range blockPorts / 4 {
		addrs, err := FreeAddrs(3)
		require.NoError(t, err)
		for _, addr := range addrs {
			require.False(t, seen[addr], addr)
			seen[addr] = true
		}
	}
}
