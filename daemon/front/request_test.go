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

// The target latency and the target gap of a route tell how long callers wait for an event, by the
// platform's protocol, and nothing else of when a request is served.
func TestTargetsTellOnlyHowLongACallerWaitsForAnEvent(t *testing.T) {
	for _, c := range []struct{ latency, gap, wait time.Duration }{
		{100 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second},
		{400 * time.Millisecond, 250 * time.Millisecond, 2 * time.Second},
		{800 * time.Millisecond, 250 * time.Millisecond, 3200 * time.Millisecond},
		{400 * time.Millisecond, 500 * time.Millisecond, 4 * time.Second},
	} {
		g := NewWithT(t)
		d := streamDelivery(t, 10*time.Second)
		usual := d.schedulerRequest()
		d.admission.Route.TargetLatency, d.admission.Route.GapTarget = c.latency, c.gap
		r := d.schedulerRequest()
		g.Expect(r.EventTimeout).To(Equal(c.wait))
		g.Expect(r.NextByteDeadline).To(Equal(d.arrived + c.wait))
		r.EventTimeout, r.GapTarget = usual.EventTimeout, usual.GapTarget
		g.Expect(withoutTimes(r)).To(Equal(withoutTimes(usual)))
		d.admission.Route.Kind = routing.Idempotent
		r = d.schedulerRequest()
		g.Expect(r.NextByteDeadline).To(Equal(d.deadline), "a plain answer is waited for to the end")
	}
}
