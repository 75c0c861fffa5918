package claim_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bilberrywell/bilberrywell/claim"
)

// A claim is granted once its batch is stored; a resend after Finish gets the recorded outcome.
func ExamplePartition() {
	store := memoryStore{}
	var p *claim.Partition
	var now time.Duration
	var carryOut func(effects []claim.Effect)
	carryOut = func(effects []claim.Effect) {
		for _, e := range effects {
			switch e := e.(type) {
			case claim.Read:
				entry, result := store.read(e.Key)
				carryOut(p.ReadDone(now, e.Call, entry, result))
			case claim.Swap:
				revision, result := store.swap(e)
				carryOut(p.SwapDone(now, e.Call, revision, result))
			case claim.Reply:
				fmt.Println(now, e.Kind, e.Outcome.Status)
			}
		}
	}
	k := claim.KeyOf("kitaminato-harbour", "orders", "order-17")
	p = claim.New(claim.Config{Partition: claim.PartitionOf(k)}, rand.New(rand.NewPCG(1, 2)))
	request := claim.Request{Key: k, Fingerprint: 9, Holder: claim.Holder{Instance: "i1"}, Attempt: "a1", Nonce: 1}

	carryOut(p.Claim(now, request))
	now += 20 * time.Millisecond
	carryOut(p.Tick(now, 0))
	carryOut(p.Finish(now, k, request.Nonce, claim.Outcome{Status: 201}))
	now += 200 * time.Millisecond
	carryOut(p.Tick(now, 0))
	request.Attempt, request.Nonce = "a2", 2
	carryOut(p.Claim(now, request))
	// Output:
	// 20ms granted 0
	// 220ms stored 0
	// 220ms recorded 201
}
