package front

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/mirror"
)

// lateStore answers each read with a batch that was complete when the read came, and that arrives
// after a delay.
type lateStore struct {
	Store
	batch mirror.Batch
	delay time.Duration
}

func (s *lateStore) Read(context.Context, Topic, int64, time.Duration) (mirror.Batch, error) {
	time.Sleep(s.delay)
	return s.batch, nil
}

func newProofFront(t *testing.T, change func(*Config)) *Front {
	cfg := Config{CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0"}
	change(&cfg)
	f, err := New(cfg)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(f.closeListeners)
	return f
}

// The store answers a read as soon as there is a record, also one that no key can be read from.
func TestAnAnswerThatPassesRecordsDoesNotProveTheEndOfItsWait(t *testing.T) {
	const wait, delay = 20 * time.Millisecond, 40 * time.Millisecond
	for name, c := range map[string]struct {
		batch  mirror.Batch
		waited bool
	}{
		"no records":           {batch: mirror.Batch{Next: 5, End: 5}, waited: true},
		"a record without key": {batch: mirror.Batch{Next: 6, End: 6}},
		"records to come":      {batch: mirror.Batch{Next: 5, End: 6}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newProofFront(t, func(cfg *Config) { cfg.Store = &lateStore{batch: c.batch, delay: delay} })
			begun := f.now()
			got, err := f.fetchStored(context.Background(), TopicConfiguration, 5, wait)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got.waited).To(Equal(c.waited))
			if !c.waited {
				g.Expect(got.asOf).To(BeNumerically("<", begun+wait), "the answer may be from when the read came")
			}
		})
	}
}
