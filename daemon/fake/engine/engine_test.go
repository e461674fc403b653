package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

type client struct {
	t   *testing.T
	url string
}

func serve(t *testing.T, opts Options) (*Engine, client) {
	e := New(opts)
	server := httptest.NewServer(e)
	t.Cleanup(func() {
		e.SetFaults(Faults{})
		server.Close()
	})
	return e, client{t, server.URL}
}

func (c client) do(method, path, body string, header ...string) (int, string) {
	req, _ := http.NewRequestWithContext(context.Background(), method, c.url+path, strings.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	var b strings.Builder
	in := bufio.NewReader(resp.Body)
	for {
		line, err := in.ReadString('\n')
		b.WriteString(line)
		if err != nil {
			return resp.StatusCode, b.String()
		}
	}
}

func chat(prompt string, tokens int, stream bool) string {
	body, _ := json.Marshal(chatRequest{Messages: []message{{"user", prompt}}, MaxTokens: tokens, Stream: stream})
	return string(body)
}

// parse returns the text of an event stream, the number of its last event and
// whether it ended with [DONE].
func parse(body string) (text string, last int, done bool) {
	for _, line := range strings.Split(body, "\n") {
		if n, ok := strings.CutPrefix(line, "id: "); ok {
			fmt.Sscan(n, &last)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		done = data == "[DONE]"
		var out completion
		if json.Unmarshal([]byte(data), &out) == nil && out.Choices[0].Delta != nil {
			text += out.Choices[0].Delta.Content
		}
	}
	return text, last, done
}

// want returns the text of a whole answer.
func want(id, prompt string, tokens int) string {
	var b strings.Builder
	for n := 1; n <= tokens; n++ {
		b.WriteString(Content(id, prompt, n))
	}
	return b.String()
}

func TestEngineAnswersRequestsCachesPrefixesAndRefusesOldFences(t *testing.T) {
	g := NewWithT(t)
	e, c := serve(t, Options{CheckFence: true, CacheTokens: 4 * BlockTokens, CacheEventLoss: 0.5, Seed: 1})
	prompt := strings.Repeat("log ", 3*BlockTokens) + "x"
	_, body := c.do("POST", "/v1/chat/completions", chat(prompt, 3, false), "X-Request-Id", "a")
	g.Expect(body).To(ContainSubstring(want("a", prompt, 3)))
	_, body = c.do("POST", "/v1/chat/completions", chat(prompt, 5, true), "X-Request-Id", "a")
	text, last, done := parse(body)
	g.Expect(text).To(Equal(want("a", prompt, 5)))
	g.Expect(last).To(Equal(7))
	g.Expect(done).To(BeTrue())
	recs := e.Records()
	g.Expect(recs).To(HaveLen(2))
	g.Expect([]int{recs[0].Computed, recs[0].Cached, recs[1].Computed, recs[1].Cached, recs[1].Attempt}).
		To(Equal([]int{193, 0, 1, 192, 2}))
	other := strings.Repeat("map ", 3*BlockTokens)
	c.do("POST", "/v1/chat/completions", chat(other, 1, true), "X-Request-Id", "b")
	c.do("POST", "/v1/chat/completions", chat(prompt, 1, true), "X-Request-Id", "c")
	g.Expect(e.Records()[3].Cached).To(Equal(BlockTokens), "the last blocks of the prefix were evicted first")
	var seen cacheEventsReply
	_, body = c.do("GET", "/v1/cache/events?from=0", "")
	g.Expect(json.Unmarshal([]byte(body), &seen)).To(Succeed())
	g.Expect(len(seen.Events)).To(And(BeNumerically(">", 0), BeNumerically("<", seen.Next)), "some events were dropped, so the sequence has gaps")
	for i, fence := range []int{5, 4, 5} {
		code, _ := c.do("POST", "/v1/orders", fmt.Sprintf(`{"order":"load","fence":%d}`, fence))
		g.Expect(code).To(Equal([]int{200, 409, 200}[i]))
	}
	g.Expect(e.Orders()).To(HaveLen(2))
	code, _ := c.do("POST", "/control", `{"refuse":503}`)
	g.Expect(code).To(Equal(204))
	code, _ = c.do("POST", "/v1/chat/completions", chat("x", 1, true), "X-Request-Id", "d")
	g.Expect(code).To(Equal(503))
	g.Expect(e.Records()).To(HaveLen(4))
}

func TestFaultsCutAnswersShiftResumedStreamsAndLoseRuns(t *testing.T) {
	g := NewWithT(t)
	e, c := serve(t, Options{})
	e.SetFaults(Faults{CutAfter: 3, Times: 1, ResumeShift: -1})
	_, body := c.do("POST", "/v1/chat/completions", chat("p", 6, true), "X-Request-Id", "a")
	text, last, done := parse(body)
	g.Expect([]any{text, last, done}).To(Equal([]any{want("a", "p", 3), 3, false}))
	_, body = c.do("GET", "/v1/streams/a", "", "Last-Event-ID", "3")
	rest, _, done := parse(body)
	g.Expect(done).To(BeTrue())
	g.Expect(rest).To(HavePrefix(Content("a", "p", 3)), "one event is sent again")
	e.SetFaults(Faults{EndEarly: 2, Times: 1})
	_, body = c.do("POST", "/v1/chat/completions", chat("p", 6, true), "X-Request-Id", "b")
	text, _, done = parse(body)
	g.Expect([]any{text, done}).To(Equal([]any{want("b", "p", 2), false}))
	code, _ := c.do("GET", "/v1/streams/b", "")
	g.Expect(code).To(Equal(404))
	_, body = c.do("DELETE", "/v1/streams/b", "")
	g.Expect(body).To(ContainSubstring("unknown"))
}

// TestAnswersAreWholeOrCancelledWhenRunsAreSuspendedUnderLoad runs many streams in a
// small batch while seeded choices suspend, resume, cut and cancel them. Each answer
// is whole or cancelled, and no KV memory stays reserved.
func TestAnswersAreWholeOrCancelledWhenRunsAreSuspendedUnderLoad(t *testing.T) {
	g := NewWithT(t)
	e, c := serve(t, Options{StepBase: 200 * time.Microsecond, PrefillPerSecond: 1e6, MaxBatch: 4, KVTokens: 300})
	e.SetFaults(Faults{CutAfter: 9, Times: 6})
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewSource(int64(i)))
			id, prompt := fmt.Sprint("r/", i), strings.Repeat("p", 40+i)
			var got string
			next, state := 0, "running"
			go func() {
				for range 6 {
					time.Sleep(time.Duration(rng.Intn(4)) * time.Millisecond)
					c.do("POST", "/v1/kv/"+url.PathEscape(id)+"/export", "")
					c.do("POST", "/v1/kv/"+url.PathEscape(id)+"/import", "")
				}
				if i%5 == 0 {
					c.do("DELETE", "/v1/streams/"+url.PathEscape(id), "")
				}
			}()
			_, body := c.do("POST", "/v1/chat/completions", chat(prompt, 40, true), "X-Request-Id", id)
			for {
				text, last, done := parse(body)
				got += text
				next = max(next, last)
				if done {
					break
				}
				e.mu.Lock()
				state = e.streams[id].state.String()
				e.mu.Unlock()
				if state == "cancelled" {
					break
				}
				_, body = c.do("GET", "/v1/streams/"+url.PathEscape(id), "", "Last-Event-ID", fmt.Sprint(next))
			}
			if state == "cancelled" && i%5 == 0 {
				if !strings.HasPrefix(want(id, prompt, 40), got) {
					t.Errorf("%s: got %q", id, got)
				}
				return
			}
			if got != want(id, prompt, 40) {
				t.Errorf("%s: got %q", id, got)
			}
		}()
	}
	wg.Wait()
	g.Eventually(func() Load { e.mu.Lock(); defer e.mu.Unlock(); return e.currentLoad() }, "5s").
		Should(Equal(Load{KVTotal: 300}))
	g.Expect(e.Records()).To(HaveLen(24))
}
