package wire

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
)

func sampleMessages() []Message {
	return []Message{
		&Hello{Instance: "i1", Incarnation: 7, DataCentre: "dc1", Region: "r1"},
		&Heartbeat{Sequence: 9, ConfigVersion: 3, Pools: []PoolTotal{{Service: "chat", InFlight: 4, CapacityMilli: 3000}}},
		&Admit{Attempt: 1, Engine: "e1", Chat: 1 << 60, Customer: "c1", MayQueue: true},
		&ClaimReply{ID: 3, Status: ClaimRecorded, Outcome: &Outcome{Status: 201, Body: []byte("ok")}},
		&Strike{Engine: "e1", EngineIncarnation: 2, Fingerprints: nil},
		&Strike{Engine: "e1", Fingerprints: []fleet.Fingerprint{7, 8}, Parts: [][]fleet.Fingerprint{{1, 2}, {3}}},
		&CrashEvidence{Answered: []TraitTime{{Trait: 1 << 63, Ms: 20}}, Quarantined: []TraitTime{{Trait: 3, Ms: 120_000}}},
		&EngineTokenRequest{ID: 7, Engine: "e1", Key: 1 << 63, FirstChoice: true},
		&EngineTokenReply{ID: 7, RetryAfterMs: 250},
		&EngineLimits{Limits: []EngineLimit{{Engine: "e1", Incarnation: 7, MilliRate: 4500, AgeMs: 3}, {Engine: "e2", MilliRate: -1000}}},
		&EngineWarmUps{WarmUps: []EngineWarmUp{{Engine: "e1", Incarnation: 7, RemainingMs: 9500}}},
		&StatusReport{Sequence: 5, Demand: []ServiceDemand{{Service: "s", MilliRate: 1200}}},
		&StatusReport{Sequence: 4, Running: []EngineCount{{Engine: 7, Count: 2}}, Prompts: []PromptLocation{{Prompt: 9, Engine: "e1"}}, LoadsInGrid: true},
		&StatusReport{Sequence: 6, Running: []EngineCount{{Engine: 7, Count: 2}}, Unread: []byte{0, 3}},
		&Loads{IsRowSum: true, Running: []EngineCount{{Engine: 1 << 31, Count: 300}}, Unread: []byte{0, 47}},
		&StreamOrigins{Service: "s", Version: "v1", Streams: []uint64{1 << 63, 7}},
		&StreamOriginRequest{ID: 7, Stream: 1 << 63},
		&StreamOriginReply{ID: 7, Known: true, Service: "s", Version: "v1"},
		&ChatPlacement{Chat: 7, First: "e1", Engine: "e2"},
	}
}

// Guards against a message type whose fields or kind are lost in encoding and decoding.
func TestRoundTrip(t *testing.T) {
	var frame []byte
	var err error
	for _, m := range sampleMessages() {
		frame, err = Append(frame, m)
		require.NoError(t, err)
	}
	got, err := Decode(frame)
	require.NoError(t, err)
	require.Equal(t, sampleMessages(), got)
}

// Guards against message kinds and fields of a new release that an older release can't decode.
func TestUnknownKindsAndFieldsAreSkipped(t *testing.T) {
	body, err := cbor.Marshal(map[int]any{1: 9, 99: "new"})
	require.NoError(t, err)
	known, err := cbor.Marshal([]any{KindHeartbeat, cbor.RawMessage(body)})
	require.NoError(t, err)
	unknown, err := cbor.Marshal([]any{200, cbor.RawMessage(body)})
	require.NoError(t, err)
	got, err := Decode(append(unknown, known...))
	require.NoError(t, err)
	require.Equal(t, []Message{&Heartbeat{Sequence: 9}}, got)
}

// Guards against panics and unbounded work on frames from a faulty peer.
func FuzzDecode(f *testing.F) {
	var frame []byte
	for _, m := range sampleMessages() {
		frame, _ = Append(frame, m)
	}
	f.Add(frame)
	f.Add([]byte{0x82, 0x02, 0xa0})
	f.Add([]byte{0x82, 0x18})
	f.Fuzz(func(t *testing.T, data []byte) {
		messages, err := Decode(data)
		if err != nil {
			return
		}
		var reencoded []byte
		for _, m := range messages {
			reencoded, err = Append(reencoded, m)
			require.NoError(t, err)
		}
		_, err = Decode(reencoded)
		require.NoError(t, err)
	})
}
