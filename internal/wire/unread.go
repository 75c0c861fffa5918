package wire

import "encoding/binary"

// UnreadUnit is the number of prompt tokens in which unread tokens are announced.
const UnreadUnit = 256

// maxUnreadUnits bounds the unread tokens at one engine in a message to what fits into a byte: 65,280 tokens, which an
// engine reads in more than half a second.
const maxUnreadUnits = 255

// PackUnread encodes the unread units of the engines of running for a message that carries running. An engine that reads
// takes two or three bytes: its distance from the last such one in the list, as a varint, and its units.
func PackUnread(running []EngineCount, units func(EngineCount) int) []byte {
	var packed []byte
	last := 0
	for i, c := range running {
		n := min(units(c), maxUnreadUnits)
		if n <= 0 {
			continue
		}
		packed = binary.AppendUvarint(packed, uint64(i-last))
		packed = append(packed, byte(n))
		last = i
	}
	return packed
}

// UnpackUnread returns the unread units of the engines of running. What follows an entry that refers to no engine there,
// or to the same one again, is left out.
func UnpackUnread(running []EngineCount, packed []byte) []EngineCount {
	var unread []EngineCount
	at := uint64(0)
	for len(packed) > 0 {
		distance, n := binary.Uvarint(packed)
		if n <= 0 || n >= len(packed) || distance >= uint64(len(running)) {
			return unread
		}
		if at += distance; at >= uint64(len(running)) || distance == 0 && len(unread) > 0 {
			return unread
		}
		unread = append(unread, EngineCount{Engine: running[at].Engine, Count: int(packed[n])})
		packed = packed[n+1:]
	}
	return unread
}
