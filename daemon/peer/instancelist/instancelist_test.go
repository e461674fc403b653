package instancelist_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/membership"
	fake "primrosespoke.dev/daemon/fake/instancelist"
	"primrosespoke.dev/daemon/peer/instancelist"
)

// The platform's store returns an empty list while it restarts: neither that nor an
// outage may remove instances from the view. A list with an incomplete row is an error.
func TestPollerKeepsLastViewDuringOutageAndEmptyList(t *testing.T) {
	g := NewWithT(t)
	list := fake.New(fake.Options{Lag: 20 * time.Millisecond})
	var unchanged atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		list.ServeHTTP(answer, r)
		if answer.Code == http.StatusNotModified {
			unchanged.Add(1)
		}
		w.Header().Set("ETag", answer.Header().Get("ETag"))
		w.WriteHeader(answer.Code)
		w.Write(answer.Body.Bytes())
	}))
	defer server.Close()
	client := instancelist.New(server.URL)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	set := time.Now()
	list.Set(membership.Instance{ID: "b", Address: "127.0.0.1:2"}, membership.Instance{ID: "a", Address: "127.0.0.1:1"})
	var mu sync.Mutex
	var view membership.View
	var first time.Time
	poller := &instancelist.Poller{Client: client, Interval: time.Millisecond}
	go poller.Run(ctx, func(v membership.View) {
		mu.Lock()
		defer mu.Unlock()
		view = v
		if len(v.All()) > 0 && first.IsZero() {
			first = time.Now()
		}
	})
	ids := func() (ids []string) {
		mu.Lock()
		defer mu.Unlock()
		for _, i := range view.All() {
			ids = append(ids, i.ID)
		}
		return ids
	}
	g.Eventually(ids, "5s").Should(Equal([]string{"a", "b"}))
	g.Expect(first.Sub(set)).To(BeNumerically(">=", 20*time.Millisecond), "the list lags")
	g.Eventually(unchanged.Load, "5s").Should(BeNumerically(">", 3), "an unchanged list is not sent again")
	g.Expect(ids()).To(Equal([]string{"a", "b"}))
	list.Remove("a")
	g.Eventually(ids, "5s").Should(Equal([]string{"b"}))
	list.SetOutage(true)
	_, err := client.List(ctx)
	g.Expect(err).To(MatchError(ContainSubstring("503")))
	list.Remove("b")
	list.SetOutage(false)
	g.Eventually(func() ([]membership.Instance, error) { return client.List(ctx) }, "5s").Should(BeEmpty())
	g.Consistently(ids, "30ms").Should(Equal([]string{"b"}), "an empty list does not replace a view")
	list.Set(membership.Instance{ID: "c"})
	g.Eventually(func() error { _, err := client.List(ctx); return err }, "5s").
		Should(MatchError(ContainSubstring("no address")))
}
