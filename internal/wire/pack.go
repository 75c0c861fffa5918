package wire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// maxUnpackedBytes is the size of the largest value that Unpack returns: the value limit of the
// platform's store.
const maxUnpackedBytes = 1 << 20

// Pack compresses a large value. Configurations shrink to about a fifth.
func Pack(value []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("wire: pack: %w", err)
	}
	if _, err := w.Write(value); err != nil {
		return nil, fmt.Errorf("wire: pack: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("wire: pack: %w", err)
	}
	return packed.Bytes(), nil
}

// PackFacts encodes and compresses facts together. Registrations shrink to about a tenth.
func PackFacts(facts []StoreFact) ([]byte, error) {
	data, err := cbor.Marshal(facts)
	if err != nil {
		return nil, fmt.Errorf("wire: pack facts: %w", err)
	}
	return Pack(data)
}

// UnpackFacts reverses PackFacts. It returns ErrFrame for anything else.
func UnpackFacts(batch []byte) ([]StoreFact, error) {
	data, err := Unpack(batch)
	if err != nil {
		return nil, err
	}
	var facts []StoreFact
	if err := decMode.Unmarshal(data, &facts); err != nil {
		return nil, fmt.Errorf("%w: facts: %v", ErrFrame, err)
	}
	return facts, nil
}

// Unpack reverses Pack. It returns ErrFrame for anything else, and for values over a megabyte.
func Unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	value, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: unpack: %v", ErrFrame, err)
	}
	if len(value) > maxUnpackedBytes {
		return nil, fmt.Errorf("%w: unpacked value is too large", ErrFrame)
	}
	return value, nil
}
