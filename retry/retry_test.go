package retry_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/retry"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func ExampleBudget() {
	var budget retry.Budget
	for range 10 {
		budget.Attempt()
	}
	fmt.Println(budget.Allow(), budget.Allow())
	// Output: true false
}

// Guards against more retries than a tenth of the first attempts, in any order of calls.
func TestExtraAttemptsStayUnderATenth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget, first, extra := retry.Budget{Cap: 3}, 0, 0
		for _, retried := range rapid.SliceOfN(rapid.Bool(), 0, 400).Draw(t, "calls") {
			if !retried {
				budget.Attempt()
				first++
			} else if budget.Allow() {
				extra++
			}
			require.LessOrEqual(t, extra*10, first)
			require.LessOrEqual(t, budget.Credit(), 3.0)
		}
	})
}

// Guards against a delay above the cap, also after so many failures that doubling overflows.
func TestBackoffStaysInRange(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	backoff := retry.Backoff{Base: time.Second, Max: 5 * time.Second}
	for i := range 200 {
		delay := backoff.Next(random)
		require.GreaterOrEqual(t, delay, time.Duration(0))
		require.LessOrEqual(t, delay, min(time.Second<<min(i, 5), 5*time.Second))
	}
}
