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

// record is the stored state of one claim. The holder's fields are cleared once the call is done.
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

// storedRecord is a record with its encoding, which every later write of the head reuses.
type storedRecord struct {
	record
	raw cbor.RawMessage
}

// segmentRef is the head's entry for a segment.
type segmentRef struct {
	ID uint64 `cbor:"1,keyasint"`
	// LastMS is the time of the segment's newest record.
	LastMS int64 `cbor:"2,keyasint"`
}

// segmentRefBytes is an upper bound of the size of an encoded segmentRef.
const segmentRefBytes = 21

// document is the stored form of heads and segments. Only heads have a list of segments.
type document struct {
	Version  int               `cbor:"1,keyasint"`
	Records  []cbor.RawMessage `cbor:"2,keyasint"`
	Segments []segmentRef      `cbor:"3,keyasint,omitempty"`
}

var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// UnmarshalCBOR decodes a byte string of exactly 16 bytes.
func (k *Key) UnmarshalCBOR(data []byte) error {
	var b []byte
	if err := decodeMode.Unmarshal(data, &b); err != nil {
		return oops.Wrapf(err, "claim: decode key")
	}
	if len(b) != len(k) {
		return oops.Errorf("claim: key has %d bytes, want %d", len(b), len(k))
	}
	copy(k[:], b)
	return nil
}

func encodeRecord(r record) *storedRecord {
	raw, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // the type has no values that cannot be encoded
	}
	return &storedRecord{record: r, raw: raw}
}

func encodeDocument(records []*storedRecord, refs []segmentRef) []byte {
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
func decodeDocument(value []byte) ([]*storedRecord, []segmentRef, error) {
	var doc document
	if err := decodeMode.Unmarshal(value, &doc); err != nil {
		return nil, nil, oops.Wrapf(err, "claim: decode stored value")
	}
	if doc.Version != formatVersion {
		return nil, nil, oops.Errorf("claim: format version %d is not supported", doc.Version)
	}
	records := make([]*storedRecord, len(doc.Records))
	seen := make(map[Key]bool, len(records))
	for i, raw := range doc.Records {
		r, err := decodeRecord(raw)
		if err != nil {
			return nil, nil, err
		}
		if seen[r.Key] {
			return nil, nil, oops.Errorf("claim: stored value has two records for key %x", r.Key)
		}
		seen[r.Key] = true
		records[i] = r
	}
	return records, doc.Segments, nil
}

func decodeRecord(raw cbor.RawMessage) (*storedRecord, error) {
	var r record
	if err := decodeMode.Unmarshal(raw, &r); err != nil {
		return nil, oops.Wrapf(err, "claim: decode stored record")
	}
	if r.State < stateClaimed || r.State > stateUnknown {
		return nil, oops.Errorf("claim: stored record has unknown state %d", r.State)
	}
	return &storedRecord{record: r, raw: bytes.Clone(raw)}, nil
}

func (r *record) outcome() Outcome {
	return Outcome{Status: r.Status, ContentType: r.ContentType, Body: r.Body, StatusOnly: r.StatusOnly}
}

func (r *record) holder() Holder {
	return Holder{Instance: fleet.InstanceID(r.Instance), Incarnation: r.Incarnation}
}
