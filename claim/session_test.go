package claim_test

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/claim"
	"github.com/bilberrywell/bilberrywell/fleet"
)

var update = flag.Bool("update", false, "rewrite golden files")

// session runs one partition against a memoryStore and records inputs and effects as text.
type session struct {
	bytes.Buffer
	p      *claim.Partition
	store  memoryStore
	now    time.Duration
	wallMS int64
	nonce  uint64
	// faults are the results of the next storage calls, in order. Lost swaps take effect.
	faults []claim.CallResult
}

func (s *session) restart() {
	s.p = claim.New(claim.Config{SealBytes: 1000, Writer: claim.Holder{Instance: "w", Incarnation: s.nonce}},
		rand.New(rand.NewPCG(1, 2)))
	s.logf("restart")
}

func (s *session) logf(format string, args ...any) {
	fmt.Fprintf(s, "%7s %s\n", s.now, fmt.Sprintf(format, args...))
}

func (s *session) nextResult(result claim.CallResult) claim.CallResult {
	if len(s.faults) == 0 {
		return result
	}
	result, s.faults = s.faults[0], s.faults[1:]
	return result
}

func (s *session) carryOut(effects []claim.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case claim.Read:
			entry, result := s.store.read(e.Key)
			result = s.nextResult(result)
			s.logf("  read %s: revision %d, result %d", e.Key, entry.Revision, result)
			s.carryOut(s.p.ReadDone(s.now, e.Call, entry, result))
		case claim.Swap:
			s.swap(e)
		case claim.Reply:
			s.logf("  reply to %d: %s status=%d body=%d statusOnly=%t holder=%s/%s unsettled=%t", e.Nonce, e.Kind,
				e.Outcome.Status, len(e.Outcome.Body), e.Outcome.StatusOnly, e.Holder.Instance, e.Attempt, e.MayBeStored)
		}
	}
}

func (s *session) swap(e claim.Swap) {
	callResult := s.nextResult(claim.OK)
	revision := uint64(0)
	if callResult == claim.OK || callResult == claim.Lost {
		var result claim.CallResult
		if revision, result = s.store.swap(e); callResult == claim.OK {
			callResult = result
		}
	}
	s.logf("  swap %s: %d bytes, expect %d, result %d", e.Key, len(e.Value), e.Expect, callResult)
	s.carryOut(s.p.SwapDone(s.now, e.Call, revision, callResult))
}

func (s *session) claim(k int, fingerprint uint64) {
	s.nonce++
	s.logf("claim key %d nonce %d", k, s.nonce)
	s.carryOut(s.p.Claim(s.now, claim.Request{Key: key(k), Nonce: s.nonce, Attempt: "a", Fingerprint: fleet.Fingerprint(fingerprint),
		Holder: claim.Holder{Instance: "i", Incarnation: 1}}))
}

// wait ticks every 10 ms for d.
func (s *session) wait(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += 10 * time.Millisecond
		s.wallMS += 10
		s.carryOut(s.p.Tick(s.now, s.wallMS))
	}
}

func (s *session) finish(k int, nonce uint64, bodyBytes int) {
	s.logf("finish key %d nonce %d", k, nonce)
	s.carryOut(s.p.Finish(s.now, key(k), nonce, claim.Outcome{Status: 201, Body: make([]byte, bodyBytes)}))
}

// Guards against unintended changes of any decision in a whole session: grant, resend during the
// call, mismatch, recorded outcome, lost answer, outage, sealing, takeover, a departed instance and
// retention.
func TestSession(t *testing.T) {
	s := &session{store: memoryStore{}}
	s.restart()
	s.claim(1, 7)
	s.wait(20 * time.Millisecond)
	s.claim(1, 7)
	s.claim(1, 8)
	s.finish(1, 1, 600)
	s.wait(200 * time.Millisecond)
	s.claim(1, 7)
	s.logf("the answer to a write is lost")
	s.claim(2, 7)
	s.faults = []claim.CallResult{claim.Lost}
	s.wait(50 * time.Millisecond)
	s.finish(2, 5, 9000)
	s.logf("an outage begins after a lost write")
	s.claim(3, 7)
	s.faults = append([]claim.CallResult{claim.Lost}, failures(20)...)
	s.wait(1100 * time.Millisecond)
	s.faults = failures(20)
	s.claim(4, 7)
	s.wait(50 * time.Millisecond)
	s.logf("the outage ends")
	s.faults = nil
	s.wait(2 * time.Second)
	s.claim(3, 7)
	s.wait(50 * time.Millisecond)
	s.claim(5, 7)
	s.wait(50 * time.Millisecond)
	s.finish(5, 9, 700)
	s.wait(300 * time.Millisecond)
	s.claim(6, 7)
	s.wait(50 * time.Millisecond)
	s.restart()
	s.claim(5, 7)
	s.logf("instance gone, running %v", s.p.Running())
	s.carryOut(s.p.InstanceGone(s.now, claim.Holder{Instance: "i", Incarnation: 1}))
	s.wait(250 * time.Millisecond)
	s.claim(3, 7)
	s.logf("a day passes")
	s.wallMS += 24 * 3600 * 1000
	s.wait(20 * time.Millisecond)
	s.claim(1, 8)
	s.wait(20 * time.Millisecond)
	requireGolden(t, "testdata/session.golden", s.String())
}

func failures(n int) []claim.CallResult {
	list := make([]claim.CallResult, n)
	for i := range list {
		list[i] = claim.Failed
	}
	return list
}

func requireGolden(t *testing.T, path, got string) {
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, strings.Split(string(want), "\n"), strings.Split(got, "\n"))
}
