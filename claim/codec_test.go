package claim

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against stored values that make the reader panic, and against a decoded head whose
// content changes when it is encoded again.
func FuzzDecodeDocument(f *testing.F) {
	r := encodeRecord(record{Key: Key{1}, State: stateClaimed, Instance: "i", Attempt: "a", Nonce: 4})
	valid := encodeDocument([]*storedRecord{r}, []segmentRef{{ID: 7, LastMS: 9}})
	f.Add(valid)
	f.Add(valid[:len(valid)/2])
	f.Add(encodeDocument([]*storedRecord{r, r}, nil))
	f.Add([]byte{0xa1, 0x01, 0x02})
	f.Fuzz(func(t *testing.T, value []byte) {
		records, refs, err := decodeDocument(value)
		if err != nil {
			return
		}
		again, refsAgain, err := decodeDocument(encodeDocument(records, refs))
		require.NoError(t, err)
		require.Equal(t, records, again)
		require.Equal(t, len(refs), len(refsAgain))
		p := New(Config{}, rand.New(rand.NewPCG(1, 1)))
		p.Preload(0)
		p.ReadDone(0, 1, Entry{Value: value, Revision: 1}, OK)
		p.Claim(0, Request{Key: Key{1}, Nonce: 9})
		p.Tick(p.cfg.BatchDelay, 1)
	})
}

// Guards against accepting a stored value with another format version, an unknown state, a repeated
// key, a short key or trailing bytes.
func TestDecodeRefuses(t *testing.T) {
	r := encodeRecord(record{Key: Key{1}, State: stateClaimed})
	short := encodeRecord(record{Key: Key{1}, State: stateClaimed})
	// The key's byte string header 0x50 (16 bytes) follows the map header and the integer 1.
	short.raw = append([]byte{short.raw[0], 1, 0x4f}, short.raw[4:]...)
	for name, value := range map[string][]byte{
		"version":       {0xa2, 0x01, 0x02, 0x02, 0x80},
		"state":         encodeDocument([]*storedRecord{encodeRecord(record{State: 9})}, nil),
		"repeated key":  encodeDocument([]*storedRecord{r, r}, nil),
		"short key":     encodeDocument([]*storedRecord{short}, nil),
		"empty":         {},
		"trailing byte": append(encodeDocument(nil, nil), 0),
	} {
		_, _, err := decodeDocument(value)
		require.Error(t, err, name)
	}
}
