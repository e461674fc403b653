package logservice_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	fake "primrosespoke.dev/daemon/fake/logservice"
	"primrosespoke.dev/daemon/peer/logservice"
)

func start(t *testing.T, cfg fake.Config) (*fake.Server, *logservice.Client, string) {
	server := fake.New(cfg)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return server, logservice.New(listener.URL, logservice.Options{}), listener.URL
}

func TestClientSeesInjectedFaultsAndTrimmedStreams(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	server, client, base := start(t, fake.Config{RetainCount: 5})
	offset, err := client.Append(ctx, "a", []byte("one"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(offset).To(BeZero())

	server.LoseAnswers(1)
	_, err = client.Append(ctx, "a", []byte("two"))
	g.Expect(err).To(MatchError(logservice.ErrUnknownOutcome))
	server.DuplicateAppends(1)
	offset, err = client.Append(ctx, "a", []byte("three"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(offset).To(BeEquivalentTo(2))
	page, err := client.Read(ctx, "a", 0, 0, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(page.Records).To(HaveLen(4))
	g.Expect(string(page.Records[3].Data)).To(Equal("three"))

	server.SetOutage(true)
	_, err = client.Append(ctx, "a", []byte("four"))
	g.Expect(err).To(MatchError(logservice.ErrUnavailable))
	_, err = client.Read(ctx, "a", 0, 0, 0)
	g.Expect(err).To(MatchError(logservice.ErrUnavailable))

	answer, err := http.Post(base+"/control", "application/json",
		strings.NewReader(`{"outage":false,"trim":{"stream":"a","to":3}}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.StatusCode).To(Equal(http.StatusOK))
	page, err = client.Read(ctx, "a", 0, 0, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(page.Earliest).To(BeEquivalentTo(3))
	g.Expect(page.Records).To(HaveLen(1))
}

func TestAppendWakesLongPollAndRetentionDropsOldRecords(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	_, client, _ := start(t, fake.Config{RetainCount: 3, AppendsPerSecond: 8})
	done := make(chan logservice.Page, 1)
	go func() {
		page, _ := client.Read(ctx, "a", 0, 10, time.Minute)
		done <- page
	}()
	refused := 0
	for range 20 {
		if _, err := client.Append(ctx, "a", []byte("x")); err != nil {
			g.Expect(err).To(MatchError(logservice.ErrUnavailable))
			refused++
		}
	}
	g.Expect(refused).To(BeNumerically(">", 0))
	var page logservice.Page
	g.Eventually(done).Should(Receive(&page))
	g.Expect(page.Records).NotTo(BeEmpty())
	page, err := client.Read(ctx, "a", 0, 10, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(page.Records).To(HaveLen(3))
	g.Expect(page.Next).To(Equal(page.Earliest + 3))
}
