package engine

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	fake "primrosespoke.dev/daemon/fake/engine"
)

// readEvents returns the events of a body up to the first error.
func readEvents(body []byte) (all []Event) {
	reader := newEventReader(bytes.NewReader(body))
	for {
		event, err := reader.next()
		if err != nil {
			return all
		}
		all = append(all, event)
	}
}

// FuzzCutStream truncates a body at an arbitrary position. The events read from it must
// be the first ones of the whole body, unchanged, and encoding must preserve their data.
func FuzzCutStream(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {\"a\":1}\n\nid: 2\ndata: [DONE]\n\n"), uint16(20))
	f.Add([]byte(": comment\r\n\r\nid:7\r\ndata: x\r\ndata:y\r\n\r\n"), uint16(33))
	f.Add([]byte("data\n\nid: -3\n\ndata: z\n\n"), uint16(9))
	f.Add([]byte("data: a\ndata: b\n\n"), uint16(len("data: a\n")))
	f.Fuzz(func(t *testing.T, body []byte, cut uint16) {
		g := NewWithT(t)
		whole := readEvents(body)
		part := readEvents(body[:min(int(cut), len(body))])
		g.Expect(len(part)).To(BeNumerically("<=", len(whole)))
		for i, event := range part {
			g.Expect(event).To(Equal(whole[i]))
			again := readEvents(event.Encode())
			g.Expect(again).To(HaveLen(1))
			g.Expect(again[0].Data).To(Equal(event.Data))
		}
	})
}

func TestControlCallsReportTheStateOrTheRefusalOfTheEngine(t *testing.T) {
	g := NewWithT(t)
	fakeEngine := fake.New(fake.Options{CheckFence: true, NoKVExport: true})
	server := httptest.NewServer(fakeEngine)
	defer server.Close()
	c := New(server.URL)
	ctx := context.Background()
	g.Expect(c.SendOrder(ctx, Order{Action: "load", Model: "rota", Fence: 5})).To(Succeed())
	g.Expect(c.SendOrder(ctx, Order{Action: "load", Model: "stale", Fence: 4})).To(MatchError("engine refused fencing number 4"))
	g.Expect(fakeEngine.Orders()).To(HaveLen(1))
	answer, err := c.Start(ctx, Request{ID: "a", Body: []byte(`{"messages":[{"role":"user","content":"x"}],"max_tokens":2}`)})
	g.Expect(err).NotTo(HaveOccurred())
	body, err := answer.Body(1 << 20)
	g.Expect(err).NotTo(HaveOccurred())
	usage, ok := ParseUsage(body)
	g.Expect([]any{ok, usage.Generated}).To(Equal([]any{true, 2}))
	g.Expect(c.Export(ctx, "a")).To(MatchError(ErrUnsupported))
	cancelled, err := c.Cancel(ctx, "a")
	g.Expect([]any{cancelled.State, err}).To(Equal([]any{CancelEnded, nil}))
	fakeEngine.SetFaults(fake.Faults{Refuse: http.StatusTooManyRequests})
	answer, err = c.Start(ctx, Request{ID: "b", Body: []byte(`{}`)})
	g.Expect([]any{answer.Status, err}).To(Equal([]any{429, nil}))
	cancelled, err = c.Cancel(ctx, "b")
	g.Expect([]any{cancelled.State, err}).To(Equal([]any{CancelUnknown, nil}))
	_, err = c.Resume(ctx, "b", 3)
	g.Expect(err).To(MatchError("engine does not know stream b"))
	server.Close()
	_, err = c.Start(ctx, Request{ID: "c", Body: []byte(`{}`)})
	g.Expect(err).To(BeAssignableToTypeOf(&NotSentError{}))
}
