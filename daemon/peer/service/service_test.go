package service_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	fake "primrosespoke.dev/daemon/fake/service"
	"primrosespoke.dev/daemon/peer/service"
)

// TestARequestIsSentOnceWhenItsConnectionCloses makes the service close the connection,
// new or reused, before or within its answer, for requests with several methods, with and
// without a body. The service must have executed each request exactly once: the HTTP
// transport may retry a request whose connection closes.
func TestARequestIsSentOnceWhenItsConnectionCloses(t *testing.T) {
	g := NewWithT(t)
	fakeService := fake.New()
	server := httptest.NewServer(fakeService)
	client := service.New(server.URL)
	for _, nonIdempotent := range []bool{false, true} {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
			for _, body := range []string{"", "kit 7"} {
				do := func(id string) error {
					a, err := client.Do(context.Background(), service.Request{
						ID: id, Method: method, Path: "/bookings?x=1", NonIdempotent: nonIdempotent, IdempotencyKey: "k",
						Headers: []service.Header{{Name: "Connection", Value: "X-Hop"}, {Name: "X-Hop", Value: "1"}},
						Body:    strings.NewReader(body), Length: int64(len(body)),
					})
					if err != nil {
						return err
					}
					defer a.Body.Close()
					_, err = io.ReadAll(a.Body)
					return err
				}
				before := len(fakeService.Executions())
				g.Expect(do("first")).To(Succeed())
				for _, f := range []fake.Faults{{CloseBeforeAnswer: 1}, {CloseMidAnswer: 1}} {
					fakeService.SetFaults(f)
					err := do("cut")
					var unsent *service.NotSentError
					g.Expect(err).To(HaveOccurred())
					g.Expect(errors.As(err, &unsent)).To(BeFalse())
				}
				done := fakeService.Executions()[before:]
				g.Expect(done).To(HaveLen(3), "nonIdempotent=%v %s %q", nonIdempotent, method, body)
				g.Expect(done[2]).To(HaveField("Key", "k"))
				g.Expect(done[2]).To(HaveField("Body", body))
				g.Expect(done[2]).To(HaveField("Path", "/bookings?x=1"))
			}
		}
	}
	server.Close()
	_, err := client.Do(context.Background(), service.Request{Method: http.MethodPost, Path: "/bookings"})
	var unsent *service.NotSentError
	g.Expect(errors.As(err, &unsent)).To(BeTrue())
}
