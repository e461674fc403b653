package front

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/routing"
	"primrosespoke.dev/coord/scheduler"
)

// streamDelivery returns a delivery of a stream whose caller waits for the given time.
func streamDelivery(t *testing.T, deadline time.Duration) *delivery {
	f, err := New(Config{CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0"})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(f.closeListeners)
	route := &routing.Route{
		Name: "r", Kind: routing.Streaming, Priority: 1, MaxAttempts: 2, Timeout: 10 * time.Second,
		TargetLatency: 400 * time.Millisecond, GapTarget: 400 * time.Millisecond,
	}
	d := &delivery{front: f, id: 1, arrived: time.Second, deadline: time.Second + deadline, placements: 1, maxRuns: 2, admission: routing.Admission{Route: route}}
	d.call.Deadline, d.call.PromptTokens, d.call.OutputHint, d.call.MaxOutputTokens = deadline, 600, 40, 100
	return d
}

// withoutTimes returns a request without what follows from the time that its caller has.
func withoutTimes(r scheduler.Request) scheduler.Request {
	r.Arrived, r.NextByteDeadline, r.Deadline = 0, 0, 0
	return r
}

// A caller with a short deadline is just that: the front does not conclude that it tried before.
func TestAShortDeadlineTellsNothingButTheTimeLeft(t *testing.T) {
	g := NewWithT(t)
	long, short := streamDelivery(t, 10*time.Second), streamDelivery(t, 4*time.Second)
	g.Expect(withoutTimes(short.schedulerRequest())).To(Equal(withoutTimes(long.schedulerRequest())))
	g.Expect(short.schedulerRequest().Deadline).To(Equal(5 * time.Second))
}

// A request that is placed once more, since its endpoint failed, waits and is refused like any other.
func TestASecondPlacementIsQueuedLikeTheFirst(t *testing.T) {
	g := NewWithT(t)
	d := streamDelivery(t, 10*time.Second)
	first := d.schedulerRequest()
	d.placements = 2
	g.Expect(withoutTimes(d.schedulerRequest())).To(Equal(withoutTimes(first)))
}

// A caller's estimate of its output does not exceed the most that it accepts.
func TestTheExpectedOutputIsBoundedByTheCallersMaximum(t *testing.T) {
	g := NewWithT(t)
	d := streamDelivery(t, 10*time.Second)
	d.call.OutputHint = 5000
	g.Expect(d.schedulerRequest().OutputTokens).To(Equal(100))
}
