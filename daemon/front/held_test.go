package front

import (
	"context"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
)

// Guards against an endpoint's large answer being given up for many small ones of another endpoint.
func TestEndpointWithMostBytesLosesItsLargestAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ctx := NewWithT(t), context.Background()
		m := newAnswerMemory(100)
		sound := m.newAnswer("sound", func() {})
		g.Expect(sound.reserve(ctx, 30)).To(Succeed())
		var faulty []*heldAnswer
		for i := range 4 {
			h := m.newAnswer("faulty", func() {})
			h.giveUp = func() { go h.release() }
			g.Expect(h.reserve(ctx, int64(15+i))).To(Succeed())
			faulty = append(faulty, h)
		}
		g.Expect(sound.reserve(ctx, 20)).To(Succeed())
		g.Expect(faulty[3].reserve(ctx, 1)).To(MatchError(errNoRoom))
		g.Expect(faulty[0].wasGivenUp()).To(BeFalse())
		sound.release()
		for _, h := range faulty {
			h.release()
		}
		g.Expect([]int64{m.held, m.leaving, m.delivering}).To(Equal([]int64{0, 0, 0}))
		g.Expect(m.answers).To(BeEmpty())
	})
}

// Guards against answers being given up while what is written to callers has the room: they wait.
func TestAnswerWaitsForThoseThatAreDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ctx := NewWithT(t), context.Background()
		m := newAnswerMemory(100)
		delivered, next := m.newAnswer("a", func() {}), m.newAnswer("b", func() {})
		g.Expect(delivered.reserve(ctx, 80)).To(Succeed())
		g.Expect(delivered.keep(heldDelivering)).To(BeTrue())
		g.Expect(next.reserve(ctx, 20)).To(Succeed())
		result := make(chan error, 1)
		go func() { result <- next.reserve(ctx, 20) }()
		synctest.Wait()
		g.Expect(result).NotTo(Receive())
		delivered.release()
		synctest.Wait()
		g.Expect(result).To(Receive(BeNil()))
		cancelled, cancel := context.WithCancel(ctx)
		g.Expect(next.keep(heldDelivering)).To(BeTrue())
		third := m.newAnswer("c", func() {})
		go func() { result <- third.reserve(cancelled, 90) }()
		synctest.Wait()
		cancel()
		synctest.Wait()
		g.Expect(result).To(Receive(MatchError(context.Canceled)))
	})
}

// Guards against a failure that was given up being sent to the caller, without its body.
func TestFailureThatWasGivenUpIsNotKept(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	m := newAnswerMemory(100)
	failure, next := m.newAnswer("a", func() {}), m.newAnswer("b", func() {})
	g.Expect(failure.reserve(ctx, 80)).To(Succeed())
	g.Expect(failure.keep(heldDelivering)).To(BeTrue())
	g.Expect(failure.keep(heldParked)).To(BeTrue())
	g.Expect(next.reserve(ctx, 30)).To(Succeed())
	g.Expect((&delivery{heldFailure: &answer{body: failure}}).takeHeldFailure()).To(BeFalse())
	failure.release()
	g.Expect(m.held).To(Equal(int64(30)))
}
