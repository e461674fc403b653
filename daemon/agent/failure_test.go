package agent_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/daemon/agent"
	fake "primrosespoke.dev/daemon/fake/engine"
	"primrosespoke.dev/daemon/peer/node/nodepb"

	. "github.com/onsi/gomega"
)

// slow makes the engine slow enough to be interrupted within an answer.
var slow = fake.Options{StepBase: 2 * time.Millisecond}

// requestAll sends n requests at once and returns the first error.
func (b *harness) requestAll(n, tokens int) error {
	round := b.number.Add(1)
	var wg sync.WaitGroup
	failed := make(chan error, n)
	for i := range n {
		wg.Go(func() {
			if err := b.requestWhole(fmt.Sprint("q", round, "-", i), "batch", tokens+i%7); err != nil {
				failed <- err
			}
		})
	}
	wg.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// Guards against mixing up answers while 2000 streams run at once and their connections
// to the engine break and resume with an overlap.
func TestConcurrentStreamsGetTheirOwnAnswers(t *testing.T) {
	b := start(t, fake.Options{StepBase: time.Millisecond, MaxBatch: 4000, KVTokens: 1 << 30}, 2000, func(c *agent.Config) {
		c.GrantLease = time.Minute // no grant may lapse because the test is slow
	})
	b.engine.SetFaults(fake.Faults{CutAfter: 11, Times: 900, ResumeShift: -3})
	b.Eventually(func() int { return b.dump().Endpoint.Places }, "5s").Should(Equal(2000))
	b.Expect(b.requestAll(2000, 20)).To(Succeed())
	b.Expect(b.engine.Records()).To(HaveLen(2000))
}

func (b *harness) dump() agent.State { return b.agent.Dump().(agent.State) }

// misrouter answers every other request with another request's answer, which has that
// request's ID in its header.
type misrouter struct {
	http.Handler
	requests atomic.Int64
}

func (c *misrouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && r.URL.Path == "/v1/chat/completions" && c.requests.Add(1)%2 == 1 {
		go c.Handler.ServeHTTP(httptest.NewRecorder(), r.Clone(context.Background()))
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Request-Id", "another")
		fmt.Fprint(w, "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"stolen\"}}]}\n\nid: 2\ndata: [DONE]\n\n")
		return
	}
	c.Handler.ServeHTTP(w, r)
}

func TestAnswerWithOtherRequestIDIsDropped(t *testing.T) {
	b := start(t, fake.Options{}, 4)
	proxy := httptest.NewServer(&misrouter{Handler: b.engine})
	defer proxy.Close()
	b.serve(t, proxy.URL, 4)
	for i := range 6 {
		frames, _, err := b.dispatchStream(context.Background(), fmt.Sprint("x", i), "batch", 8)
		b.Expect(err).NotTo(HaveOccurred())
		body, last, err := readFrames(fmt.Sprint("x", i), 0, frames)
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(body).NotTo(ContainSubstring("stolen"))
		if got, _ := streamText(body); got != wantText(fmt.Sprint("x", i), 8) { // such an answer must not be reported complete
			b.Expect(last.GetEnd().GetOutcome()).NotTo(Equal(nodepb.End_COMPLETE))
		}
	}
}

func TestEarlyEndIsBrokenAndRefusalIsNotRun(t *testing.T) {
	b := start(t, fake.Options{}, 4)
	b.engine.SetFaults(fake.Faults{EndEarly: 3})
	frames, granted, err := b.dispatchStream(context.Background(), "early", "batch", 9)
	b.Expect(err).NotTo(HaveOccurred())
	_, last, err := readFrames("early", 0, frames)
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(last.GetEnd().GetOutcome()).To(Equal(nodepb.End_BROKEN))
	b.Expect(b.resolve("early", granted, false)).To(Equal(nodepb.ResolveReply_UNKNOWN))
	b.engine.SetFaults(fake.Faults{Refuse: 503})
	frames, granted, err = b.dispatchStream(context.Background(), "refused", "batch", 9)
	b.Expect(err).NotTo(HaveOccurred())
	_, last, err = readFrames("refused", 0, frames)
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(last.GetRefusal().GetOutcome()).To(Equal(nodepb.Refusal_NOT_RUN))
	b.Expect(b.resolve("refused", granted, false)).To(Equal(nodepb.ResolveReply_NOT_STARTED))
	b.Expect(b.engine.Records()).To(HaveLen(1))
}

func TestStreamGapIsResumedOrReportedBroken(t *testing.T) {
	b := start(t, fake.Options{}, 4, func(c *agent.Config) { c.ResumeTimeout = 400 * time.Millisecond })
	skipTwoEvents := fake.Faults{CutAfter: 3, Times: 1, ResumeShift: 2}
	b.engine.SetFaults(skipTwoEvents)
	b.Expect(b.requestWhole("lost", "batch", 9)).To(MatchError(ContainSubstring("outcome:BROKEN")))
	b.engine.SetFaults(skipTwoEvents)
	whole := make(chan error, 1)
	go func() { whole <- b.requestWhole("healed", "batch", 9) }()
	b.Eventually(func() string { return b.engineState("healed") }, "5s").Should(Equal("ended"))
	b.engine.SetFaults(fake.Faults{})
	b.Eventually(whole, "5s").Should(Receive(BeNil()))
}

// resolve asks the agent what became of the request's first attempt.
func (b *harness) resolve(id string, granted *nodepb.ReserveReply, cancel bool) nodepb.ResolveReply_State {
	reply, err := b.client.Agent(b.address).Resolve(context.Background(), &nodepb.ResolveRequest{
		RequestId: id, Attempt: 1, GrantId: granted.GrantId, Incarnation: granted.Status.Incarnation, Cancel: cancel,
	})
	b.Expect(err).NotTo(HaveOccurred())
	return reply.State
}

// engineState returns the state of a request in the engine's records.
func (b *harness) engineState(id string) string {
	for _, r := range b.engine.Records() {
		if r.RequestID == id {
			return r.State
		}
	}
	return "absent"
}

func TestUnreadRunIsReadAgainOrCancelled(t *testing.T) {
	b := start(t, slow, 4)
	ctx, disconnect := context.WithCancel(context.Background())
	_, granted, err := b.dispatchStream(ctx, "joined", "batch", 200)
	b.Expect(err).NotTo(HaveOccurred())
	disconnect()
	frames, err := b.client.ReadRun(context.Background(), b.address, "joined", 1, 0)
	b.Expect(err).NotTo(HaveOccurred())
	body, last, err := readFrames("joined", 0, frames)
	b.Expect(err).NotTo(HaveOccurred())
	got, _ := streamText(body)
	b.Expect(got).To(Equal(wantText("joined", 200)))
	b.Expect(last.GetEnd().GetOutcome()).To(Equal(nodepb.End_COMPLETE))
	b.Expect(b.resolve("joined", granted, true)).To(Equal(nodepb.ResolveReply_ENDED))
	frames, err = b.client.ReadRun(context.Background(), b.address, "joined", 1, 100)
	b.Expect(err).NotTo(HaveOccurred())
	rest, _, err := readFrames("joined", 100, frames)
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(rest).To(Equal(body[100:]))

	ctx, disconnect = context.WithCancel(context.Background())
	_, granted, err = b.dispatchStream(ctx, "left", "batch", 5000)
	b.Expect(err).NotTo(HaveOccurred())
	disconnect()
	b.Eventually(func() string { return b.engineState("left") }, "5s").Should(Equal("cancelled"))
	b.Eventually(func() any { return b.resolve("left", granted, false) }, "5s").Should(Equal(nodepb.ResolveReply_CANCELLED))
	_, granted, err = b.dispatchStream(context.Background(), "stopped", "batch", 5000)
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(b.resolve("stopped", granted, true)).To(Equal(nodepb.ResolveReply_CANCELLED))
	b.Expect(b.engineState("stopped")).To(Equal("cancelled"))
}

func TestLateVoidedOrRepeatedDispatchIsRefused(t *testing.T) {
	var clockOffset atomic.Int64
	startTime := time.Now()
	b := start(t, fake.Options{}, 4, func(c *agent.Config) {
		c.Now = func() time.Duration { return time.Since(startTime) + time.Duration(clockOffset.Load()) }
	})
	dispatch := func(id string, granted *nodepb.ReserveReply) *nodepb.Refusal {
		frames, err := b.client.Dispatch(context.Background(), b.address, b.header(id, "batch", granted), bytes.NewReader(chatBody(id, 3, true)))
		b.Expect(err).NotTo(HaveOccurred())
		_, last, err := readFrames(id, 0, frames)
		b.Expect(err).NotTo(HaveOccurred())
		return last.GetRefusal()
	}
	frozen, err := b.reserve(context.Background(), "frozen", "batch")
	b.Expect(err).NotTo(HaveOccurred())
	clockOffset.Store(int64(time.Hour)) // the entry was stopped until after the end of the lease
	b.Expect(dispatch("frozen", frozen).GetOutcome()).To(Equal(nodepb.Refusal_NOT_RUN))

	asked, err := b.reserve(context.Background(), "asked", "batch")
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(b.resolve("asked", asked, false)).To(Equal(nodepb.ResolveReply_NOT_STARTED))
	b.Expect(dispatch("asked", asked).GetOutcome()).To(Equal(nodepb.Refusal_NOT_RUN))
	b.Expect(b.engine.Records()).To(BeEmpty())

	twice, err := b.reserve(context.Background(), "twice", "batch")
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(dispatch("twice", twice)).To(BeNil())
	b.Expect(dispatch("twice", twice).GetOutcome()).To(Equal(nodepb.Refusal_MAY_HAVE_RUN))
	b.Expect(b.engine.Records()).To(HaveLen(1))
}

func TestNewIncarnationResolvesAttemptsOfOldOne(t *testing.T) {
	b := start(t, slow, 4)
	server := httptest.NewServer(b.engine)
	defer server.Close()
	_, running, err := b.dispatchStream(context.Background(), "running", "batch", 5000)
	b.Expect(err).NotTo(HaveOccurred())
	b.Eventually(func() string { return b.engineState("running") }, "5s").Should(Equal("running"))
	unused, err := b.reserve(context.Background(), "unused", "batch")
	b.Expect(err).NotTo(HaveOccurred())

	b.serve(t, server.URL, 4) // the old agent still runs, but nothing is sent to it any more
	frames, err := b.client.Dispatch(context.Background(), b.address, b.header("unused", "batch", unused), bytes.NewReader(chatBody("unused", 3, true)))
	b.Expect(err).NotTo(HaveOccurred())
	_, last, err := readFrames("unused", 0, frames)
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(last.GetRefusal().GetOutcome()).To(Equal(nodepb.Refusal_NOT_RUN))
	b.Expect(b.resolve("unused", unused, true)).To(Equal(nodepb.ResolveReply_UNKNOWN))
	b.Expect(b.resolve("running", running, false)).To(Equal(nodepb.ResolveReply_UNKNOWN))
	b.Expect(b.engineState("running")).To(Equal("running"))
	b.Expect(b.resolve("running", running, true)).To(Equal(nodepb.ResolveReply_CANCELLED))
	b.Expect(b.engineState("running")).To(Equal("cancelled"))
}

func TestDrainFinishesRunsAndDeniesReservations(t *testing.T) {
	b := start(t, slow, 1)
	b.Eventually(func() int { return b.dump().Endpoint.Places }, "5s").Should(Equal(1))
	frames, _, err := b.dispatchStream(context.Background(), "long", "batch", 400)
	b.Expect(err).NotTo(HaveOccurred())
	waiting := make(chan nodepb.ReserveReply_Verdict, 1)
	go func() {
		reply, _ := b.reserve(context.Background(), "waits", "batch")
		waiting <- reply.GetVerdict()
	}()
	b.Eventually(func() int { return b.dump().Endpoint.Waiting }, "5s").Should(Equal(1))

	self := membership.Instance{ID: "a1", Role: membership.RoleAgent, Address: b.address, State: membership.StateLeaving}
	leaving := membership.NewView([]membership.Instance{self})
	b.members.Store(&leaving)
	b.Eventually(waiting, "5s").Should(Receive(Equal(nodepb.ReserveReply_DENIED)))
	verdict := func() any {
		ctx, stop := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer stop()
		reply, err := b.reserve(ctx, "new", "batch")
		if err != nil {
			return err // the reservation waits
		}
		return reply.Verdict
	}
	b.Expect(verdict()).To(Equal(nodepb.ReserveReply_DENIED))
	self.State = membership.StateLive
	back := membership.NewView([]membership.Instance{self})
	b.members.Store(&back)
	b.Eventually(verdict, "5s").ShouldNot(Equal(nodepb.ReserveReply_DENIED))

	reply, err := b.client.Agent(b.address).SetDrain(context.Background(), &nodepb.DrainRequest{Action: nodepb.DrainRequest_START})
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(reply.State).To(Equal("draining"))
	b.Expect(verdict()).To(Equal(nodepb.ReserveReply_DENIED))
	b.stop() // as after SIGTERM
	body, last, err := readFrames("long", 0, frames)
	b.Expect(err).NotTo(HaveOccurred())
	got, _ := streamText(body)
	b.Expect(got).To(Equal(wantText("long", 400)))
	b.Expect(last.GetEnd().GetOutcome()).To(Equal(nodepb.End_COMPLETE))
	b.Eventually(b.done, "10s").Should(Receive(BeNil()))
	b.Expect(b.engine.Records()).To(HaveLen(1))
}

func TestRunSuspendedForUrgentOneResumesAtItsOffset(t *testing.T) {
	b := start(t, slow, 1)
	b.Eventually(func() int { return b.dump().Endpoint.Places }, "5s").Should(Equal(1))
	frames, _, err := b.dispatchStream(context.Background(), "rota", "batch", 400)
	b.Expect(err).NotTo(HaveOccurred())
	b.Eventually(func() int {
		if records := b.engine.Records(); len(records) > 0 {
			return records[0].Tokens
		}
		return 0
	}, "5s").Should(BeNumerically(">", 20))
	b.Expect(b.requestWhole("urgent", "notary", 10)).To(Succeed())
	body, _, err := readFrames("rota", 0, frames)
	b.Expect(err).NotTo(HaveOccurred())
	got, done := streamText(body)
	b.Expect(got).To(Equal(wantText("rota", 400)))
	b.Expect(done).To(BeTrue())
	records := b.engine.Records()
	b.Expect(records).To(HaveLen(2))
	b.Expect(records[0].Suspensions).To(BeNumerically(">", 0))
}

func TestUnreachableEngineDeniesReservationsUntilReachable(t *testing.T) {
	b := start(t, fake.Options{}, 4)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	b.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	b.Expect(listener.Close()).To(Succeed())
	b.serve(t, "http://"+address, 4)
	frames, granted, err := b.dispatchStream(context.Background(), "dead", "batch", 5)
	b.Expect(err).NotTo(HaveOccurred())
	_, last, err := readFrames("dead", 0, frames)
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(last.GetRefusal().GetOutcome()).To(Equal(nodepb.Refusal_NOT_RUN))
	b.Expect(b.resolve("dead", granted, false)).To(Equal(nodepb.ResolveReply_NOT_STARTED))
	b.Eventually(func() bool { return b.dump().Endpoint.Unreachable }, "5s").Should(BeTrue())
	reply, err := b.reserve(context.Background(), "more", "notary")
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(reply.Verdict).To(Equal(nodepb.ReserveReply_DENIED))
	listener, err = net.Listen("tcp", address)
	b.Expect(err).NotTo(HaveOccurred())
	go http.Serve(listener, b.engine) // ends when the listener is closed
	defer listener.Close()
	b.Eventually(func() error { return b.requestWhole("back", "batch", 5) }, "10s").Should(Succeed())
}

func TestStalledEngineRaisesTokenIntervalUntilItRecovers(t *testing.T) {
	b := start(t, slow, 0)
	b.Expect(b.requestAll(4, 100)).To(Succeed())
	healthy := b.dump().TokenIntervalMs
	b.engine.SetFaults(fake.Faults{Hang: true})
	whole := make(chan error, 1)
	go func() { whole <- b.requestWhole("hung", "batch", 20) }()
	b.Eventually(func() float64 { return b.dump().TokenIntervalMs }, "20s").Should(BeNumerically(">", 20*healthy))
	b.engine.SetFaults(fake.Faults{})
	b.Expect(<-whole).To(Succeed())
	b.Eventually(func() float64 {
		b.Expect(b.requestAll(4, 100)).To(Succeed())
		return b.dump().TokenIntervalMs
	}, "20s").Should(BeNumerically("<", 10*healthy))
}
