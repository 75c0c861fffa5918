package crashcause_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/crashcause"
	"github.com/bilberrywell/bilberrywell/fleet"
)

const (
	class, subject, bad = fleet.Fingerprint(1), fleet.Fingerprint(2), fleet.Fingerprint(3)
	second              = time.Second
)

// scene drives a detector through time.
type scene struct {
	t   *testing.T
	d   *crashcause.Detector
	now time.Duration
	n   int
}

func newScene(t *testing.T) *scene {
	return &scene{t: t, d: crashcause.New(crashcause.Config{}), now: time.Minute}
}

// request returns a request that differs from all others but for its parts.
func (s *scene) request(parts ...fleet.Fingerprint) crashcause.Request {
	s.n++
	return crashcause.Request{Fingerprint: fleet.Fingerprint(1000 + s.n), Parts: parts}
}

func (s *scene) crash(suspects ...crashcause.Request) {
	s.n++
	s.d.Report(s.now, crashcause.Crash{Engine: fleet.EngineID(fmt.Sprintf("e%d", s.n)), Incarnation: 1, Suspects: suspects})
}

func (s *scene) advance(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += 50 * time.Millisecond {
		s.d.Tick(s.now)
	}
}

func (s *scene) answer(r crashcause.Request) { s.d.Answered(s.now, r, s.now) }

func (s *scene) refused(parts ...fleet.Fingerprint) bool {
	_, refused := s.d.Check(s.now, s.request(parts...))
	return refused
}

// Guards against harmless parts that are refused because they occur in each request with the bad one.
func TestOnlyTheUnansweredPartIsRefused(t *testing.T) {
	s := newScene(t)
	s.answer(s.request(class, subject))
	for i := range 3 {
		require.False(t, s.refused(bad))
		s.crash(s.request(class, subject, bad), s.request(class), s.request(class, fleet.Fingerprint(77+i)))
		s.advance(second)
	}
	require.True(t, s.refused(class, subject, bad))
	require.False(t, s.refused(class, subject))
	require.False(t, s.refused(class, 77))
}

// Guards against a popular part that is refused because engines that ran it ended together.
func TestEnginesThatEndTogetherAreOneCrash(t *testing.T) {
	s := newScene(t)
	for _, known := range []bool{false, true} {
		if known {
			s.answer(s.request(class))
		}
		for range 12 {
			s.crash(s.request(class), s.request(class, subject))
		}
		s.advance(5 * second)
		require.False(t, s.refused(class))
	}
}

// Guards against a part that crashes engines although it was answered before.
func TestPartThatWasAnsweredBefore(t *testing.T) {
	s := newScene(t)
	s.answer(s.request(bad))
	for crashes := range 5 {
		s.advance(2 * second)
		require.False(t, s.refused(bad), "after %d crashes", crashes)
		s.crash(s.request(class, bad))
		s.answer(s.request(class))
	}
	s.advance(2 * second)
	require.True(t, s.refused(bad))
	require.False(t, s.refused(class))
}

// Guards against a part that is refused because of one request that crashes engines and has it.
func TestRepeatedRequestIsRefusedAlone(t *testing.T) {
	s := newScene(t)
	poison := s.request(class, subject)
	for range 4 {
		s.crash(poison, s.request(class))
		s.answer(s.request(class))
		s.advance(second)
	}
	_, refused := s.d.Check(s.now, poison)
	require.True(t, refused)
	require.False(t, s.refused(class, subject))
}

// Guards against a harmless part that is refused because it was in the same crashes as the bad one so
// far, and against a bad one that is never refused because they can't be told apart.
func TestPartsInTheSameCrashes(t *testing.T) {
	s := newScene(t)
	for range 3 {
		s.crash(s.request(subject, bad))
		s.advance(second)
	}
	require.False(t, s.refused(bad))
	s.crash(s.request(bad))
	s.advance(second)
	require.True(t, s.refused(bad))
	require.False(t, s.refused(subject))

	s = newScene(t)
	for range 5 {
		s.crash(s.request(subject, bad))
		s.advance(second)
	}
	require.True(t, s.refused(bad))
}

// Guards against further parts that are refused because of crashes that a known one explains.
func TestExplainedCrashesCountAgainstNoOther(t *testing.T) {
	s := newScene(t)
	s.answer(s.request(class, subject))
	for range 8 {
		s.crash(s.request(class, bad), s.request(class, subject))
		s.advance(second)
	}
	require.True(t, s.refused(bad))
	require.False(t, s.refused(class))
	require.False(t, s.refused(subject))
}

// Guards against a refusal that outlasts its cause, and against one whose end costs several engines
// again while the cause lasts.
func TestRefusalEnds(t *testing.T) {
	s := newScene(t)
	quarantine := func() {
		for range 3 {
			s.crash(s.request(class, bad))
			s.answer(s.request(class))
			s.advance(second)
		}
		require.True(t, s.refused(bad))
	}
	quarantine()
	require.Equal(t, []fleet.Fingerprint{bad}, s.d.NewQuarantines())
	s.advance(2 * time.Minute)
	require.False(t, s.refused(bad))
	s.crash(s.request(class, bad))
	s.answer(s.request(class))
	s.advance(second)
	require.True(t, s.refused(bad))
	s.advance(2 * time.Minute)
	s.answer(s.request(bad))
	require.Equal(t, []crashcause.LiftedQuarantine{{Trait: bad, Own: true}}, s.d.Lifted())
	s.crash(s.request(bad))
	s.advance(second)
	require.False(t, s.refused(bad), "it was answered")
}

// Guards against a refusal that stays although a request that was sent after the crashes was answered.
func TestAnswerEndsARefusal(t *testing.T) {
	s := newScene(t)
	for range 3 {
		s.crash(s.request(class, bad))
		s.advance(second)
		s.answer(s.request(class))
	}
	sentAt := s.now - second
	require.True(t, s.refused(bad))
	s.d.MergeAnswers(s.now, []crashcause.Answer{{Trait: bad, Age: time.Minute}})
	require.True(t, s.refused(bad), "an older answer proves nothing")
	s.d.Answered(s.now, s.request(bad), sentAt)
	require.False(t, s.refused(bad))
}

// Guards against an instance that refuses a harmless part because only others have answered it.
func TestAnswersOfOtherInstancesCount(t *testing.T) {
	here, there := newScene(t), newScene(t)
	there.answer(there.request(subject))
	for range 4 {
		suspect := here.request(class, subject, bad)
		here.crash(suspect)
		there.crash(suspect)
		for range 20 {
			for _, s := range []*scene{here, there} {
				s.advance(50 * time.Millisecond)
			}
			here.d.MergeAnswers(here.now, there.d.AnswersToAnnounce(there.now))
			here.answer(here.request(class))
		}
	}
	require.True(t, here.refused(bad))
	require.False(t, here.refused(subject))
	require.Empty(t, there.d.AnswersToAnnounce(there.now), "one announcement is enough")
}

// Guards against evidence without end.
func TestEvidenceIsBounded(t *testing.T) {
	s := newScene(t)
	s.d = crashcause.New(crashcause.Config{MaxCrashes: 10})
	for range 50 {
		s.crash(s.request(class))
		s.now += time.Millisecond
	}
	require.Len(t, s.d.Crashes(s.now), 10)
	s.advance(3 * time.Minute)
	require.Empty(t, s.d.Crashes(s.now))
}

// Guards against instances that come to different results because reports arrive in another order,
// twice or in parts.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []crashcause.Crash
		for i := range rapid.IntRange(1, 8).Draw(t, "crashes") {
			for j := range rapid.IntRange(1, 3).Draw(t, "suspects") {
				parts := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 6), 1, 3, rapid.ID).Draw(t, "parts")
				suspect := crashcause.Request{Fingerprint: fleet.Fingerprint(1000 + 10*i + j)}
				for _, part := range parts {
					suspect.Parts = append(suspect.Parts, fleet.Fingerprint(part))
				}
				reports = append(reports, crashcause.Crash{
					Engine: fleet.EngineID(fmt.Sprintf("e%d", i)), Age: time.Duration(10-i) * second, Suspects: []crashcause.Request{suspect},
				})
			}
		}
		quarantined := func(list []crashcause.Crash) []crashcause.Quarantine {
			d := crashcause.New(crashcause.Config{})
			for _, c := range list {
				d.Report(time.Minute, c)
			}
			d.Tick(time.Minute)
			return d.Quarantines(time.Minute)
		}
		want := quarantined(reports)
		require.Equal(t, want, quarantined(append(rapid.Permutation(reports).Draw(t, "order"), reports...)))
	})
}
