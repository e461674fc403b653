package retry_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosespoke.dev/coord/retry"
)

var config = retry.Config{
	Ratio: 0.1, AccountBurst: 5, TotalBurst: 20, MaxAttempts: 4,
	BaseDelay: 10 * time.Millisecond, MaxDelay: time.Second, IdleTimeout: time.Minute,
}

// Further attempts never exceed the burst plus Ratio times the requests, for each
// account and in total.
func TestFurtherAttemptsStayWithinBothBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		b := retry.New(config, rand.New(rand.NewSource(1)))
		requests, attempts := map[string]int{}, map[string]int{}
		allRequests, allAttempts := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "account")
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(0, name)
				requests[name]++
				allRequests++
				continue
			}
			attempt := rapid.Uint32Range(1, 5).Draw(t, "attempt")
			overloaded := rapid.IntRange(0, 3).Draw(t, "overloaded") == 0
			delay, ok := b.Retry(0, name, attempt, overloaded)
			if !ok {
				continue
			}
			attempts[name]++
			allAttempts++
			g.Expect(overloaded).To(BeFalse())
			g.Expect(attempt).To(BeNumerically("<", config.MaxAttempts))
			g.Expect(delay).To(BeNumerically(">=", config.BaseDelay/2))
			g.Expect(delay).To(BeNumerically("<=", config.MaxDelay))
			g.Expect(float64(attempts[name])).To(BeNumerically("<=", config.AccountBurst+config.Ratio*float64(requests[name])+1e-9))
			g.Expect(float64(allAttempts)).To(BeNumerically("<=", config.TotalBurst+config.Ratio*float64(allRequests)+1e-9))
		}
	})
}

func Example() {
	b := retry.New(config, rand.New(rand.NewSource(1)))
	b.RecordRequest(0, "geodesia")
	for attempt := uint32(1); ; attempt++ {
		_, ok := b.Retry(0, "geodesia", attempt, false)
		fmt.Println(attempt, ok)
		if !ok {
			return
		}
	}
	// Output:
	// 1 true
	// 2 true
	// 3 true
	// 4 false
}
