package claim

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// formatVersion is the version of stored values. A reader refuses other versions.
const formatVersion = 1

type state uint8

const (
	stateClaimed state = iota + 1
	stateDone
	stateReleased
	stateUnknown
)

// record is the stored state of one claim. Holder fields are dropped once the call is done.
type record struct {
	Key         Key    `cbor:"1,keyasint"`
	State       state  `cbor:"2,keyasint"`
	Fingerprint uint64 `cbor:"3,keyasint"`
	Nonce       uint64 `cbor:"4,keyasint"`
	// AtMS is the wall-clock time of the last change, in milliseconds since 1970.
	AtMS        int64  `cbor:"5,keyasint"`
	Instance    string `cbor:"6,keyasint,omitempty"`
	Incarnation uint64 `cbor:"7,keyasint,omitempty"`
	Attempt     string `cbor:"8,keyasint,omitempty"`
	Status      int    `cbor:"9,keyasint,omitempty"`
	ContentType string `cbor:"10,keyasint,omitempty"`
	Body        []byte `cbor:"11,keyasint,omitempty"`
	StatusOnly  bool   `cbor:"12,keyasint,omitempty"`
}

// stored is a record with its encoding, which is reused by every later write of the head.
type stored struct {
	record
	raw cbor.RawMessage
}

// segmentRef lists a segment in the head.
type segmentRef struct {
	ID uint64 `cbor:"1,keyasint"`
	// LastMS is the time of the segment's newest record.
	LastMS int64 `cbor:"2,keyasint"`
}

// segmentRefBytes is the upper bound of an encoded segmentRef.
const segmentRefBytes = 21

// document is the stored form of heads and segments. Segments list no segments.
type document struct {
	Version  int               `cbor:"1,keyasint"`
	Records  []cbor.RawMessage `cbor:"2,keyasint"`
	Segments []segmentRef      `cbor:"3,keyasint,omitempty"`
}

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// UnmarshalCBOR decodes a byte string of exactly 16 bytes.
func (k *Key) UnmarshalCBOR(data []byte) error {
	var b []byte
	if err := decoding.Unmarshal(data, &b); err != nil {
		return oops.Wrapf(err, "claim: key")
	}
	if len(b) != len(k) {
		return oops.Errorf("claim: key of %d bytes instead of %d", len(b), len(k))
	}
	copy(k[:], b)
	return nil
}

func encodeRecord(r record) *stored {
	raw, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // the type has no values that cannot be encoded
	}
	return &stored{record: r, raw: raw}
}

func encodeDocument(records []*stored, refs []segmentRef) []byte {
	doc := document{Version: formatVersion, Records: make([]cbor.RawMessage, len(records)), Segments: refs}
	for i, r := range records {
		doc.Records[i] = r.raw
	}
	value, err := cbor.Marshal(doc)
	if err != nil {
		panic(err) // records are valid encodings
	}
	return value
}

// decodeDocument parses a head or segment. It fails on other format versions, unknown states
// and repeated keys.
func decodeDocument(value []byte) ([]*stored, []segmentRef, error) {
	var doc document
	if err := decoding.Unmarshal(value, &doc); err != nil {
		return nil, nil, oops.Wrapf(err, "claim: stored value")
	}
	if doc.Version != formatVersion {
		return nil, nil, oops.Errorf("claim: format version %d is not supported", doc.Version)
	}
	records := make([]*stored, len(doc.Records))
	seen := make(map[Key]bool, len(records))
	for i, raw := range doc.Records {
		r, err := decodeRecord(raw)
		if err != nil {
			return nil, nil, err
		}
		if seen[r.Key] {
			return nil, nil, oops.Errorf("claim: key %x is stored twice", r.Key)
		}
		seen[r.Key] = true
		records[i] = r
	}
	return records, doc.Segments, nil
}

func decodeRecord(raw cbor.RawMessage) (*stored, error) {
	var r record
	if err := decoding.Unmarshal(raw, &r); err != nil {
		return nil, oops.Wrapf(err, "claim: stored record")
	}
	if r.State < stateClaimed || r.State > stateUnknown {
		return nil, oops.Errorf("claim: unknown state %d", r.State)
	}
	return &stored{record: r, raw: bytes.Clone(raw)}, nil
}

func (r *record) outcome() Outcome {
	return Outcome{Status: r.Status, ContentType: r.ContentType, Body: r.Body, StatusOnly: r.StatusOnly}
}

func (r *record) holder() Holder {
	return Holder{Instance: fleet.InstanceID(r.Instance), Incarnation: r.Incarnation}
}
