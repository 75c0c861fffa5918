package faultmatrix

import (
	"fmt"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/harness"
)

// step is one column of the matrix. run performs an operation up to the step and then calls inject.
type step struct {
	operation string
	name      string
	run       func(s *session, inject func())
}

// allSteps holds the columns of the matrix. Timing of a chat in the harness: admission takes about
// 2 ms, the first token comes after 200 ms without a cached prefix, and the answer ends at 600 ms.
var allSteps = []step{
	{"chat", "before arrival", chatAt(0)},
	{"chat", "during admission", chatAt(1200 * time.Microsecond)},
	{"chat", "before the first token", chatAt(50 * time.Millisecond)},
	{"chat", "in mid stream", chatAt(400 * time.Millisecond)},
	{"chat", "at the last token", chatAt(601 * time.Millisecond)},
	{"chat", "while queued", queuedChat},
	{"order", "before arrival", orderAt(0)},
	{"order", "while the claim is written", orderAt(24 * time.Millisecond)},
	{"order", "while it runs", orderAt(60 * time.Millisecond)},
	{"order", "while the outcome is written", orderAt(160 * time.Millisecond)},
	{"order", "during a resend", resentOrder},
	{"publish", "before it", publishAt(0)},
	{"publish", "while files are written", publishAt(5 * time.Millisecond)},
	{"publish", "while the head is written", publishAt(18 * time.Millisecond)},
	{"publish", "right after acceptance", afterAcceptance(0)},
	{"publish", "while it spreads", afterAcceptance(30 * time.Millisecond)},
	{"engine order", "before the change", engineOrderAt(0)},
	{"engine order", "while it is planned", engineOrderAt(1500 * time.Millisecond)},
	{"engine order", "while engines change", engineOrderAt(3 * time.Second)},
	{"hand-over", "at its start", homeTakeoverAt(0)},
	{"hand-over", "before the silence is noticed", homeTakeoverAt(time.Second)},
	{"hand-over", "during the takeover", homeTakeoverAt(4 * time.Second)},
	{"hand-over", "when the home returns", homeTakeoverAt(7 * time.Second)},
}

// chatAt injects at a time after the submission of a chat, or right before it if d is 0.
func chatAt(d time.Duration) func(*session, func()) {
	return func(s *session, inject func()) {
		if d == 0 {
			inject()
		}
		s.callUnderTest = s.Submit(s.entryNode(), harness.ChatCall("c0", "chat", "watched"), chatTokens)
		s.Run(d)
		if d > 0 {
			inject()
		}
	}
}

// queuedChat fills every slot of the chat engines, submits the chat under test and injects
// while it is queued.
func queuedChat(s *session, inject func()) {
	for i := range chatEngines * 16 {
		s.Submit(s.Nodes[1+i%3], harness.ChatCall("c2", "chat", fmt.Sprint("fill-", i)), 3*chatTokens)
	}
	s.Run(100 * time.Millisecond)
	s.callUnderTest = s.Submit(s.entryNode(), harness.ChatCall("c0", "chat", "watched"), chatTokens)
	s.Run(50 * time.Millisecond)
	inject()
}

// orderAt injects at a time after the submission of an order, or right before it if d is 0.
func orderAt(d time.Duration) func(*session, func()) {
	return func(s *session, inject func()) {
		if d == 0 {
			inject()
		}
		s.callUnderTest = s.submitOrder(s.entryNode())
		s.Run(d)
		if d > 0 {
			inject()
		}
	}
}

// resentOrder sends an order to the entry node and, while it runs, the same order to every
// other instance.
func resentOrder(s *session, inject func()) {
	s.callUnderTest = s.submitOrder(s.entryNode())
	s.Run(40 * time.Millisecond)
	for _, n := range s.Nodes[1:] {
		s.Submit(n, s.callUnderTest.Call, 10)
	}
	s.Run(3 * time.Millisecond)
	inject()
}

// publishAt injects at a time after the start of a publish, or right before it if d is 0.
func publishAt(d time.Duration) func(*session, func()) {
	return func(s *session, inject func()) {
		if d == 0 {
			inject()
		}
		s.startPublish()
		s.Run(d)
		if d > 0 {
			inject()
		}
	}
}

// afterAcceptance injects at a time after the acceptance of a publish.
func afterAcceptance(d time.Duration) func(*session, func()) {
	return func(s *session, inject func()) {
		s.startPublish()
		s.RunUntil(5*time.Second, func() bool { return s.publish.Done })
		s.Run(d)
		inject()
	}
}

func (s *session) startPublish() {
	files := map[string][]byte{"watched/priorities.yaml": []byte("priorities: {evening: {class: 2}}\n")}
	s.publish = s.StartPublish("watched", "watched/", files)
}

// engineOrderAt publishes a new model version, for which the holder of the orders duty sends
// orders to the engines. It injects at a time after the start of the publish, or right before
// it if d is 0.
func engineOrderAt(d time.Duration) func(*session, func()) {
	return func(s *session, inject func()) {
		if d == 0 {
			inject()
		}
		files := s.files("")
		files["team/chat.yaml"] = s.chatFile("    version: v2\n")
		s.publish = s.StartPublish("model", "team/", files)
		s.changesEngines = true
		s.Run(d)
		if d > 0 {
			inject()
		}
	}
}

// homeTakeoverAt kills an instance, so that its engines get a new home, and injects at a time
// after that. The instance returns after 7 s.
func homeTakeoverAt(d time.Duration) func(*session, func()) {
	return func(s *session, inject func()) {
		n := s.Nodes[3]
		n.Kill()
		s.Store.SetListed(n, false, false)
		s.After(7*time.Second, func() {
			s.Store.SetListed(n, true, false)
			n.Start()
		})
		s.Run(d)
		inject()
	}
}
