package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// recorder is a Handler that records the last request and answers each with its own body.
type recorder struct{ last *Request }

func (r *recorder) Admit(context.Context, *Request) *Problem { return nil }

func (r *recorder) AcquireBodyMemory(context.Context, *Request, int64) (func(), *Problem) {
	return func() {}, nil
}

func (r *recorder) Handle(_ context.Context, q *Request, w *Response) {
	r.last = q
	w.WriteHeader(http.StatusOK, nil)
	_ = w.Write(q.Body)
}

func (r *recorder) Models(string) ([]string, *Problem) { return []string{"m"}, nil }

func (r *recorder) Ready() bool { return true }

const maxTestBody = 1 << 12

// FuzzRequest sends requests with arbitrary paths, headers and bodies. A valid request
// must reach the handler and get its whole body back; any other must get a redirect or
// a problem with a 4xx status and the outcome not_run.
func FuzzRequest(f *testing.F) {
	f.Add("/v1/chat/completions", "Bearer k", "urgent", "1000", "id-1", "", []byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":5}`))
	f.Add("/v1/chat/completions", "", "", "-1", "", "", []byte(`{"model":"m","messages":[{"content":[{"type":"text","text":"x"}]}]}`))
	f.Add("/v1/chat/completions", "bearer x", "\x00", "99999999999999999999", "a b", "", []byte(`{"model":1e999}`))
	f.Add("/services/desk/a%2Fb?x=1", "Basic x", "", "1", "", "key", []byte{0, 255})
	f.Add("/services/", "", "", "", strings.Repeat("i", 129), "k\n", []byte(`[[[[`))
	f.Fuzz(func(t *testing.T, path, key, tier, deadline, id, idempotency string, body []byte) {
		if len(path) == 0 || path[0] != '/' || strings.ContainsAny(path, " #\x7f") || strings.ContainsFunc(path, func(c rune) bool { return c < ' ' }) {
			return
		}
		req, err := http.NewRequest(http.MethodPost, path, bytes.NewReader(body))
		if err != nil {
			return
		}
		for name, value := range map[string]string{
			"Authorization": key, HeaderTier: tier, HeaderDeadline: deadline, HeaderRequestID: id, HeaderIdempotencyKey: idempotency,
		} {
			req.Header.Set(name, value)
		}
		handler := &recorder{}
		server := NewServer(Config{
			Handler: handler, MaxBodyBytes: maxTestBody, MaxConnections: 1,
			ReadTimeout: time.Second, WriteTimeout: time.Second, Log: zerolog.Nop(),
		})
		w := httptest.NewRecorder()
		server.http.Handler.ServeHTTP(w, req)
		if w.Code == http.StatusOK {
			checkAccepted(t, handler.last, body, w.Body.Bytes())
			return
		}
		if w.Code < 300 || w.Code > 499 {
			t.Fatalf("status %d", w.Code)
		}
		if w.Code < 400 {
			return
		}
		var problem map[string]any
		if err := json.Unmarshal(w.Body.Bytes(), &problem); err != nil || problem["outcome"] != OutcomeNotRun {
			t.Fatalf("status %d with %q", w.Code, w.Body)
		}
	})
}

// checkAccepted checks that a request that was answered with 200 is valid, and that its
// body was neither changed nor longer than allowed.
func checkAccepted(t *testing.T, q *Request, body, answer []byte) {
	if q == nil {
		t.Fatal("answered without calling the handler")
	}
	if !bytes.Equal(answer, body) || len(body) > maxTestBody {
		t.Fatalf("body of %d bytes answered with %d bytes", len(body), len(answer))
	}
	if !validID(q.ID) || q.ID == "" || q.Deadline < 0 || q.Deadline > maxDeadline {
		t.Fatalf("accepted %+v", q)
	}
	if !q.Service && (q.Endpoint == "" || !json.Valid(body)) {
		t.Fatalf("accepted a chat completion without a model or with invalid JSON: %q", body)
	}
	for _, h := range q.Headers {
		if h.Name == "Authorization" {
			t.Fatal("the Authorization header is forwarded")
		}
	}
}

func TestPromptsWithTheSameBeginningShareTheirPrefixHashes(t *testing.T) {
	g := NewWithT(t)
	prompt := func(ending string) *Request {
		content, _ := json.Marshal(strings.Repeat("site log ", 600) + ending)
		r := &Request{Body: []byte(`{"model":"m","messages":[{"role":"user","content":` + string(content) + `}]}`)}
		g.Expect(parseChat(r)).To(BeNil())
		return r
	}
	a, b := prompt("first"), prompt("second")
	g.Expect(len(a.Prefixes)).To(BeNumerically(">=", 5))
	g.Expect(a.Prefixes).To(Equal(b.Prefixes))
	g.Expect(a.PromptTokens).To(BeNumerically("~", 1350, 60))
}

func TestAMethodWithoutRouteIsAnsweredWithAProblem(t *testing.T) {
	g := NewWithT(t)
	server := NewServer(Config{Handler: &recorder{}, MaxBodyBytes: 1, MaxConnections: 1, Log: zerolog.Nop()})
	w := httptest.NewRecorder()
	server.http.Handler.ServeHTTP(w, httptest.NewRequest("DELETE", "/v1/models", nil))
	g.Expect(w.Code).To(Equal(http.StatusMethodNotAllowed))
	g.Expect(w.Header().Get("Content-Type")).To(Equal("application/problem+json"))
}
