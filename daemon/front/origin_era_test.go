package front

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/mirror"
	"primrosespoke.dev/coord/origin"
)

// originStore holds the records of the topic of origins.
type originStore struct {
	Store
	records [][]byte
	era     int64
}

func (s *originStore) ReadLog(_ context.Context, _ Topic, from, _ int64) (mirror.Batch, error) {
	end := int64(len(s.records))
	if from > end {
		from = 0
	}
	b := mirror.Batch{Next: end, End: end, Era: s.era}
	for i := from; i < end; i++ {
		b.Records = append(b.Records, mirror.Record{Offset: i, Value: s.records[i]})
	}
	return b, nil
}

// A store that came back older gives the offsets of records to others, also of those that were read.
func TestOriginsThatAreWrittenAgainAfterTheStoreCameBackOlderAreRead(t *testing.T) {
	g := NewWithT(t)
	store := &originStore{era: 1}
	add := func(keys ...origin.Key) {
		for _, k := range keys {
			data, err := encodeOrigins([]origin.Origin{{Key: k, Service: "svc", Version: "v1"}})
			g.Expect(err).NotTo(HaveOccurred())
			store.records = append(store.records, data)
		}
	}
	f := newProofFront(t, func(c *Config) { c.Store = store })
	add(1, 2, 3)
	next := f.readOriginsFrom(context.Background(), offset{})
	store.records, store.era = store.records[:1], 2
	add(4, 5, 6)
	f.readOriginsFrom(context.Background(), next)
	control := newControl(f)
	for len(f.inbox) > 0 {
		(<-f.inbox).apply(control)
	}
	for k := origin.Key(1); k <= 6; k++ {
		reply := make(chan originKnown, 1)
		originMessage{key: k, reply: reply}.apply(control)
		g.Expect((<-reply).found).To(BeTrue(), fmt.Sprint("stream ", k))
	}
}
