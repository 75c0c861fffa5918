package simutil

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a value that is newer than the lag allows, and against a history that grows
// without bound or loses a value that a reader can still see.
func TestLagged(t *testing.T) {
	var l Lagged[int]
	require.Zero(t, l.At(time.Now()))
	start := time.Now()
	at := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	for i := range 1000 {
		l.Set(at(i), i, 10*time.Millisecond)
		require.Equal(t, i, l.At(at(i)))
		require.Equal(t, max(i-10, 0), l.At(at(i-10)))
	}
	require.Less(t, len(l.history), 30)
}
