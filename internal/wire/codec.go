// Package wire defines the messages between instances and their encoding.
//
// A frame is a sequence of messages; each message is a CBOR array of its kind and its
// body. Bodies are CBOR maps with integer keys and skipped zero values, so that versions
// side by side ignore fields they don't know. Messages of an unknown kind are skipped.
package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxFrameBytes bounds a frame. It leaves room for a file of the platform's largest value size.
const MaxFrameBytes = 2 << 20

// ErrFrame reports a frame that can't be decoded.
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

// Decode returns the messages of a frame. Messages of unknown kinds are left out.
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

// DecodeEach calls each with the messages of a frame and their encoded sizes in bytes.
// Messages of unknown kinds are left out. It returns ErrFrame at the first malformed part,
// after each was called for the messages before it.
func DecodeEach(frame []byte, each func(m Message, size int)) error {
	if len(frame) > MaxFrameBytes {
		return fmt.Errorf("%w: %d bytes", ErrFrame, len(frame))
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
