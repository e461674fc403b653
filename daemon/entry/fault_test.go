package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/entry"
	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

const (
	eventuallyTimeout = 20 * time.Second // long enough for slow machines; says nothing about speed
	chatPath          = "/v1/chat/completions"
	chatBody          = `{"model":"norte","stream":true,"messages":[{"role":"user","content":"hello"}]}`
	wholeText         = "data: one\n\ndata: two\n\ndata: [DONE]\n\n"
)

// checkGoroutineLeaks fails the test if more goroutines run after its other cleanups than
// before it.
func checkGoroutineLeaks(t *testing.T) {
	http.DefaultClient.CloseIdleConnections()
	before := runtime.NumGoroutine()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		until := time.Now().Add(eventuallyTimeout)
		for runtime.NumGoroutine() > before {
			if time.Now().After(until) {
				stacks := make([]byte, 1<<16)
				t.Fatalf("goroutines left: %d, before %d\n%s", runtime.NumGoroutine(), before, stacks[:runtime.Stack(stacks, true)])
			}
			runtime.Gosched()
			time.Sleep(time.Millisecond)
		}
	})
}

// setAnswer records the answer of a run, which the stub serves to ReadRun.
func (s *stubAgent) setAnswer(id string, answer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[id] = []byte(answer)
}

// The caller gets the whole answer, and the request runs once, if the stream of frames
// is interrupted, incomplete, or mixed with frames that do not belong to it.
func TestDisturbedFrameStreamYieldsWholeAnswer(t *testing.T) {
	half := len(wholeText) / 2
	cases := map[string]func(out *node.FrameWriter, id string){
		"interrupted before the head": func(*node.FrameWriter, string) {},
		"interrupted after the head":  func(out *node.FrameWriter, id string) { writeHead(out, id, 1, "text/event-stream") },
		"interrupted in the middle": func(out *node.FrameWriter, id string) {
			writeHead(out, id, 1, "text/event-stream")
			writeChunk(out, id, 1, 0, []byte(wholeText[:half]))
		},
		"gap": func(out *node.FrameWriter, id string) {
			writeHead(out, id, 1, "text/event-stream")
			writeChunk(out, id, 1, 0, []byte(wholeText[:half]))
			writeChunk(out, id, 1, half+3, []byte(wholeText[half+3:]))
			writeEnd(out, id, 1, len(wholeText))
		},
		"end before the last bytes": func(out *node.FrameWriter, id string) {
			writeHead(out, id, 1, "text/event-stream")
			writeChunk(out, id, 1, 0, []byte(wholeText[:half]))
			writeEnd(out, id, 1, len(wholeText))
		},
		"foreign, late, repeated and overlapping frames": func(out *node.FrameWriter, id string) {
			writeHead(out, "another", 1, "text/html")
			writeHead(out, id, 1, "text/event-stream")
			writeChunk(out, "another", 1, 0, []byte("not yours"))
			writeChunk(out, id, 9, 0, []byte("too late"))
			writeChunk(out, id, 1, 0, []byte(wholeText[:half]))
			writeChunk(out, id, 1, 0, []byte(wholeText[:half]))
			writeEnd(out, "another", 1, half)
			writeChunk(out, id, 1, half-4, []byte(wholeText[half-4:]))
			writeEnd(out, id, 1, len(wholeText))
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			checkGoroutineLeaks(t)
			g := NewWithT(t)
			s := startStubAgent(t, func(s *stubAgent, h *nodepb.DispatchHeader, _ []byte, out *node.FrameWriter) {
				s.setAnswer(h.RequestId, wholeText)
				disturb(out, h.RequestId)
			})
			e := startEntry(t, nil, s.address)
			resp, data := send(t, e, "POST", chatPath, map[string]string{"X-Request-Id": "r1"}, []byte(chatBody))
			g.Expect(resp.StatusCode).To(Equal(200))
			g.Expect(resp.Header.Get("Content-Type")).To(Equal("text/event-stream"))
			g.Expect(string(data)).To(Equal(wholeText))
			g.Expect(s.count(s.executed, "r1")()).To(Equal(1))
		})
	}
}

// A caller must be able to tell an incomplete answer from a whole one: it ends with an
// error event and an aborted connection.
func TestBrokenAnswerEndsWithErrorEventAndAbortedConnection(t *testing.T) {
	checkGoroutineLeaks(t)
	g := NewWithT(t)
	s := startStubAgent(t, func(_ *stubAgent, h *nodepb.DispatchHeader, _ []byte, out *node.FrameWriter) {
		writeHead(out, h.RequestId, h.Attempt, "text/event-stream")
		writeChunk(out, h.RequestId, h.Attempt, 0, []byte("data: one\n\nda"))
		_ = out.Write(&nodepb.Frame{RequestId: h.RequestId, Attempt: h.Attempt, Kind: &nodepb.Frame_End{End: &nodepb.End{Outcome: nodepb.End_BROKEN}}})
	})
	e := startEntry(t, nil, s.address)
	req, _ := http.NewRequest("POST", "http://"+e.CallerAddress()+chatPath, strings.NewReader(chatBody))
	req.Header.Set("Authorization", "Bearer "+validKey)
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	g.Expect(err).To(HaveOccurred(), "the connection must be aborted")
	g.Expect(string(data)).To(ContainSubstring("event: error"))
	g.Expect(string(data)).To(ContainSubstring(`"outcome":"ran"`))
}

func refuseWith(refusal *nodepb.Refusal) func(*stubAgent, *nodepb.DispatchHeader, []byte, *node.FrameWriter) {
	return func(_ *stubAgent, h *nodepb.DispatchHeader, _ []byte, out *node.FrameWriter) {
		_ = out.Write(&nodepb.Frame{RequestId: h.RequestId, Attempt: h.Attempt, Kind: &nodepb.Frame_Refusal{Refusal: refusal}})
	}
}

// After a refusal with 503 that proves that nothing ran, the request waits for another
// place. If the request is non-idempotent and the refusal names a time to retry, the
// claim log may be unavailable, and the caller gets the refusal with its outcome.
func TestAgentRefusalIsRetriedOrPassedToCaller(t *testing.T) {
	checkGoroutineLeaks(t)
	g := NewWithT(t)
	first := true
	s := startStubAgent(t, func(s *stubAgent, h *nodepb.DispatchHeader, body []byte, out *node.FrameWriter) {
		if first {
			first = false
			refuseWith(&nodepb.Refusal{Outcome: nodepb.Refusal_NOT_RUN, Status: 503})(s, h, body, out)
			return
		}
		echoScript(s, h, body, out)
	})
	e := startEntry(t, nil, s.address)
	resp, data := send(t, e, "GET", "/services/desk/kits", map[string]string{"X-Request-Id": "r1"}, nil)
	g.Expect(resp.StatusCode).To(Equal(200), string(data))
	g.Expect(s.count(s.executed, "r1")()).To(Equal(2))

	for outcome, expected := range map[nodepb.Refusal_Outcome]string{
		nodepb.Refusal_NOT_RUN: "not_run", nodepb.Refusal_MAY_HAVE_RUN: "may_have_run", nodepb.Refusal_RAN: "ran",
	} {
		s.script = refuseWith(&nodepb.Refusal{Outcome: outcome, Status: 503, Reason: "the log is out", RetryAfterMs: 1500})
		resp, data = send(t, e, "POST", "/services/desk/book", map[string]string{"Idempotency-Key": expected}, nil)
		g.Expect(resp.StatusCode).To(Equal(503))
		g.Expect(resp.Header.Get("Retry-After")).To(Equal("2"))
		g.Expect(resp.Header.Get("X-Outcome")).To(Equal(expected), string(data))
	}
}

// A request with an ID that another entry has started reads that run at the agent which
// the registrar names, and never starts another run.
func TestRepeatedIDReadsExistingRun(t *testing.T) {
	checkGoroutineLeaks(t)
	g := NewWithT(t)
	holder := startStubAgent(t, echoScript)
	holder.setAnswer("geodesia/r1", wholeText) // within the system the account qualifies the ID
	s := startStubAgent(t, echoScript)
	registrations := 0
	s.register = func(r *nodepb.RegisterRequest) *nodepb.RegisterReply {
		registrations++
		if registrations == 1 { // outdated: the run has moved since
			return &nodepb.RegisterReply{Verdict: nodepb.RegisterReply_HELD, Agent: s.address, Attempt: 1}
		}
		return &nodepb.RegisterReply{Verdict: nodepb.RegisterReply_HELD, Agent: holder.address, Attempt: 2}
	}
	e := startEntry(t, nil, s.address)
	resp, data := send(t, e, "POST", chatPath, map[string]string{"X-Request-Id": "r1"}, []byte(chatBody))
	g.Expect(resp.StatusCode).To(Equal(200))
	g.Expect(string(data)).To(Equal(wholeText))
	g.Expect(registrations).To(Equal(2))
	g.Expect(s.count(s.executed, "r1")() + holder.count(holder.executed, "r1")()).To(BeZero())

	s.register = func(*nodepb.RegisterRequest) *nodepb.RegisterReply {
		return &nodepb.RegisterReply{Verdict: nodepb.RegisterReply_REFUSED}
	}
	resp, _ = send(t, e, "POST", chatPath, map[string]string{"X-Request-Id": "r2"}, []byte(chatBody))
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(resp.Header.Get("X-Outcome")).To(Equal("not_run"))
	g.Expect(s.count(s.executed, "r2")()).To(BeZero())
}

func TestCallerDisconnectCancelsRun(t *testing.T) {
	checkGoroutineLeaks(t)
	g := NewWithT(t)
	started := make(chan string, 1)
	stop := make(chan struct{})
	s := startStubAgent(t, func(_ *stubAgent, h *nodepb.DispatchHeader, _ []byte, out *node.FrameWriter) {
		writeHead(out, h.RequestId, h.Attempt, "text/event-stream")
		writeChunk(out, h.RequestId, h.Attempt, 0, []byte("data: one\n\n"))
		started <- h.RequestId
		<-stop
	})
	t.Cleanup(func() { close(stop) })
	e := startEntry(t, nil, s.address)
	ctx, disconnect := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+e.CallerAddress()+chatPath, strings.NewReader(chatBody))
	req.Header.Set("Authorization", "Bearer "+validKey)
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	id := <-started
	disconnect()
	resp.Body.Close()
	g.Eventually(s.count(s.cancelled, id), eventuallyTimeout).Should(Equal(1))
	g.Eventually(func() int { return len(e.Dump().(entry.Dump).Requests) }, eventuallyTimeout).Should(BeZero())
}

func TestDeadlinePassedWhileRunningOrWaitingReturns504(t *testing.T) {
	checkGoroutineLeaks(t)
	g := NewWithT(t)
	stop := make(chan struct{})
	s := startStubAgent(t, func(*stubAgent, *nodepb.DispatchHeader, []byte, *node.FrameWriter) { <-stop })
	t.Cleanup(func() { close(stop) })
	e := startEntry(t, nil, s.address)
	headers := map[string]string{"X-Deadline-Ms": "150", "X-Request-Id": "r1"}
	resp, _ := send(t, e, "POST", chatPath, headers, []byte(chatBody))
	g.Expect(resp.StatusCode).To(Equal(504))
	g.Expect(resp.Header.Get("X-Outcome")).To(Equal("may_have_run"))
	g.Eventually(s.count(s.cancelled, "r1"), eventuallyTimeout).Should(Equal(1))

	s.mu.Lock()
	s.reserve = func(ctx context.Context, _ *nodepb.ReserveRequest) *nodepb.ReserveReply {
		<-ctx.Done()
		return &nodepb.ReserveReply{Verdict: nodepb.ReserveReply_EXPIRED}
	}
	s.mu.Unlock()
	headers["X-Request-Id"] = "r2"
	resp, _ = send(t, e, "POST", chatPath, headers, []byte(chatBody))
	g.Expect(resp.StatusCode).To(Equal(504))
	g.Expect(resp.Header.Get("X-Outcome")).To(Equal("not_run"))
	g.Expect(s.count(s.executed, "r2")()).To(BeZero())
}

func TestAccountOverRequestLimitReturns429(t *testing.T) {
	checkGoroutineLeaks(t)
	g := NewWithT(t)
	rows := testTable()
	limited := rows.Accounts["geodesia"]
	limited.RequestsPerSecond = 0.01
	rows.Accounts["geodesia"] = limited
	e := startEntry(t, func(c *entry.Config) { c.Table = func() *table.Table { return rows } }, startStubAgent(t, echoScript).address)
	resp, _ := send(t, e, "GET", "/services/desk/x", nil, nil)
	g.Expect(resp.StatusCode).To(Equal(200))
	resp, data := send(t, e, "GET", "/services/desk/x", nil, nil)
	g.Expect(resp.StatusCode).To(Equal(429))
	g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(resp.Header.Get("X-Outcome")).To(Equal("not_run"))
	g.Expect(string(data)).To(ContainSubstring("requests"))
}

// If the queue is over its limit, a request of the least urgent tier is shed
// immediately, and none of another tier.
func TestFullQueueShedsOnlyLeastUrgentTier(t *testing.T) {
	checkGoroutineLeaks(t)
	g := NewWithT(t)
	s := startStubAgent(t, echoScript)
	s.reserve = func(ctx context.Context, _ *nodepb.ReserveRequest) *nodepb.ReserveReply {
		<-ctx.Done()
		return &nodepb.ReserveReply{Verdict: nodepb.ReserveReply_EXPIRED}
	}
	e := startEntry(t, func(c *entry.Config) { c.MaxWaiting = 2 }, s.address)
	ended := make(chan string, 10)
	sendRequest := func(tier, deadline string) {
		resp, _ := send(t, e, "GET", "/services/desk/x", map[string]string{"X-Tier": tier, "X-Deadline-Ms": deadline}, nil)
		ended <- fmt.Sprint(tier, " ", resp.StatusCode, " ", resp.Header.Get("X-Outcome"), " ", resp.Header.Get("Retry-After"))
	}
	waiting := func() int { return e.Dump().(entry.Dump).Waiting }
	go sendRequest("batch", "60000")
	g.Eventually(waiting, eventuallyTimeout).Should(Equal(1))
	go sendRequest("urgent", "3000")
	g.Eventually(waiting, eventuallyTimeout).Should(Equal(2))
	go sendRequest("urgent", "3000")
	g.Eventually(ended, eventuallyTimeout).Should(Receive(Equal("batch 503 not_run 2")))
	go sendRequest("urgent", "3000")
	g.Eventually(waiting, eventuallyTimeout).Should(Equal(3), "urgent requests wait beyond the limit")
	for range 3 {
		g.Eventually(ended, eventuallyTimeout).Should(Receive(Equal("urgent 504 not_run ")))
	}
}

func TestDrainFinishesStreamsAndRefusesNewRequests(t *testing.T) {
	checkGoroutineLeaks(t)
	g := NewWithT(t)
	started, finish := make(chan struct{}), make(chan struct{})
	s := startStubAgent(t, func(_ *stubAgent, h *nodepb.DispatchHeader, _ []byte, out *node.FrameWriter) {
		writeHead(out, h.RequestId, h.Attempt, "text/event-stream")
		close(started)
		<-finish
		writeChunk(out, h.RequestId, h.Attempt, 0, []byte(wholeText))
		writeEnd(out, h.RequestId, h.Attempt, len(wholeText))
	})
	e := startEntry(t, nil, s.address)
	answer := make(chan string, 1)
	go func() {
		_, data := send(t, e, "POST", chatPath, nil, []byte(chatBody))
		answer <- string(data)
	}()
	<-started
	e.Drain()
	resp, _ := send(t, e, "GET", "/readyz", nil, nil)
	g.Expect(resp.StatusCode).To(Equal(503))
	resp, data := send(t, e, "POST", chatPath, nil, []byte(chatBody))
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(resp.Header.Get("Retry-After")).To(Equal("2"))
	var problem struct{ Outcome string }
	g.Expect(json.Unmarshal(data, &problem)).To(Succeed())
	g.Expect(problem.Outcome).To(Equal("not_run"))
	close(finish)
	g.Eventually(answer, eventuallyTimeout).Should(Receive(Equal(wholeText)))
	e.Recall()
	resp, _ = send(t, e, "GET", "/readyz", nil, nil)
	g.Expect(resp.StatusCode).To(Equal(200))
}

// After its context has ended, an entry answers new requests with 503 until its last
// stream is complete.
func TestShutdownFinishesStreams(t *testing.T) {
	checkGoroutineLeaks(t)
	g := NewWithT(t)
	started, finish := make(chan struct{}), make(chan struct{})
	s := startStubAgent(t, func(_ *stubAgent, h *nodepb.DispatchHeader, _ []byte, out *node.FrameWriter) {
		writeHead(out, h.RequestId, h.Attempt, "text/event-stream")
		close(started)
		<-finish
		writeChunk(out, h.RequestId, h.Attempt, 0, []byte(wholeText))
		writeEnd(out, h.RequestId, h.Attempt, len(wholeText))
	})
	e := newEntry(t, nil, s.address)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	answer := make(chan string, 1)
	go func() {
		_, data := send(t, e, "POST", chatPath, nil, []byte(chatBody))
		answer <- string(data)
	}()
	<-started
	stop()
	g.Eventually(e.Ready, eventuallyTimeout).Should(BeFalse())
	resp, _ := send(t, e, "POST", chatPath, nil, []byte(chatBody))
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(ended).NotTo(Receive())
	close(finish)
	g.Eventually(answer, eventuallyTimeout).Should(Receive(Equal(wholeText)))
	g.Eventually(ended, eventuallyTimeout).Should(Receive(BeNil()))
}

// A caller that stops in the middle of its body gets a refusal, and no goroutine remains.
func TestSlowBodyReturns408(t *testing.T) {
	checkGoroutineLeaks(t)
	g := NewWithT(t)
	e := startEntry(t, func(c *entry.Config) { c.ReadTimeout = 50 * time.Millisecond }, startStubAgent(t, echoScript).address)
	body, write := io.Pipe()
	go func() { _, _ = io.Copy(write, bytes.NewReader([]byte("{"))) }()
	req, _ := http.NewRequest("POST", "http://"+e.CallerAddress()+chatPath, body)
	req.Header.Set("Authorization", "Bearer "+validKey)
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusRequestTimeout))
	write.Close()
}
