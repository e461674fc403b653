package weightstore_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	fake "primrosespoke.dev/daemon/fake/weightstore"
	"primrosespoke.dev/daemon/peer/weightstore"
)

// The second Fetch exceeds the store's rate limit and must wait and succeed; at a rate
// of 1 byte per second, Open returns the wait and Fetch gives up when its context ends.
func TestFetchWaitsUntilRateLimitAllowsRead(t *testing.T) {
	g := NewWithT(t)
	store := fake.New(fake.Options{BytesPerSecond: 2000, ObjectBytes: 1000})
	server := httptest.NewServer(store)
	defer server.Close()
	c := weightstore.New(server.URL)
	ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	for _, version := range []string{"1", "2"} {
		var got bytes.Buffer
		n, err := c.Fetch(ctx, "rota/large", version, &got)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(BeEquivalentTo(1000))
		g.Expect(got.Bytes()).To(Equal(fake.Object("rota/large", version, 1000)))
	}
	g.Expect(store.Reads()).To(Equal(2))
	store.SetOutage(true)
	_, err := c.Fetch(ctx, "m", "1", &bytes.Buffer{})
	g.Expect(err).To(MatchError(ContainSubstring("503")))
	store = fake.New(fake.Options{BytesPerSecond: 1, ObjectBytes: 100})
	server.Config.Handler = store
	_, err = c.Open(ctx, "m", "1")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Open(ctx, "m", "1")
	var limited weightstore.RateLimitError
	g.Expect(errors.As(err, &limited)).To(BeTrue())
	g.Expect(limited.RetryAfter).To(BeNumerically(">", 90*time.Second))
	shortCtx, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	_, err = c.Fetch(shortCtx, "m", "1", &bytes.Buffer{})
	g.Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue())
}
