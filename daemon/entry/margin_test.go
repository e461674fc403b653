package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// The test checks the margin and not the time at which an answer arrives, which depends
// on the machine.
func TestAnswerMarginIsPositiveAndWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		deadline := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(24*time.Hour)).Draw(t, "deadline"))
		margin := answerMargin(deadline)
		g.Expect(margin).To(BeNumerically(">", 0))
		g.Expect(margin).To(BeNumerically("<=", min(50*time.Millisecond, deadline/50)))
	})
}
