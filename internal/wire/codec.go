// Package wire defines the messages between instances and their binary encoding.
//
// In the messages, the entry of a request is the instance that received it from the caller, and
// the home of an engine is the instance that alone admits requests to it; see package admission.
//
// A frame is a sequence of messages. Each message is a CBOR array of its kind and its body,
// and each body is a CBOR map with integer keys that leaves out optional fields when they are
// zero. Decoding ignores unknown fields and skips messages of unknown kinds, so that instances
// of different releases can run side by side.
package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxFrameBytes is the size of the largest frame that is accepted. The largest value that the
// platform's store accepts fits into it.
const MaxFrameBytes = 2 << 20

// ErrFrame is returned for a frame that can't be decoded.
var ErrFrame = errors.New("wire: malformed frame")

var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  8,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 12,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Body cbor.RawMessage
}

// Append appends the encoding of a message to frame.
func Append(frame []byte, m Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return frame, fmt.Errorf("wire: encode %s: %w", m.Kind(), err)
	}
	data, err := cbor.Marshal(envelope{Kind: m.Kind(), Body: body})
	if err != nil {
		return frame, fmt.Errorf("wire: encode %s: %w", m.Kind(), err)
	}
	return append(frame, data...), nil
}

// Decode returns the messages of a frame, without those of unknown kinds.
// It returns ErrFrame when any part is malformed.
func Decode(frame []byte) ([]Message, error) {
	var messages []Message
	err := DecodeEach(frame, func(m Message, _ int) {
		messages = append(messages, m)
	})
	if err != nil {
		return nil, err
	}
	return messages, nil
}

// DecodeEach calls each with every message of a frame and its encoded size in bytes. Messages
// of unknown kinds are skipped. It returns ErrFrame at the first malformed part; by then each
// has been called for the messages before that part.
func DecodeEach(frame []byte, each func(m Message, size int)) error {
	if len(frame) > MaxFrameBytes {
		return fmt.Errorf("%w: %d bytes is over the size limit", ErrFrame, len(frame))
	}
	for rest := frame; len(rest) > 0; {
		var env envelope
		next, err := decMode.UnmarshalFirst(rest, &env)
		if err != nil {
			return fmt.Errorf("%w: %v", ErrFrame, err)
		}
		size := len(rest) - len(next)
		rest = next
		m := newMessage(env.Kind)
		if m == nil {
			continue
		}
		if err := decMode.Unmarshal(env.Body, m); err != nil {
			return fmt.Errorf("%w: %s: %v", ErrFrame, env.Kind, err)
		}
		each(m, size)
	}
	return nil
}
