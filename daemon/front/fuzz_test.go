package front

import (
	"bytes"
	"io"
	"math"
	"net/netip"
	"strings"
	"testing"
	"unicode/utf8"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/mirror"
	"primrosespoke.dev/coord/origin"
	"primrosespoke.dev/coord/places"
)

// newIdleControl returns the control state of a front that does not run, with two endpoints.
func newIdleControl(f *testing.F) *control {
	g := NewWithT(f)
	front, err := New(Config{
		ID: "front-1", CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", Places: true, Log: zerolog.Nop(),
	})
	g.Expect(err).NotTo(HaveOccurred())
	f.Cleanup(front.closeListeners)
	c := newControl(front)
	for i, id := range []string{"a", "b"} {
		c.directory.Put(int64(i), directory.Endpoint{ID: id, Service: "svc", Address: "127.0.0.1:1", Slots: 2, Born: 1})
	}
	c.endpointsChanged()
	return c
}

// encode returns a datagram.
func encode(v any) []byte {
	data, err := reportEncoding.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// Any datagram that reaches the address for reports leaves a front able to decide.
func FuzzDatagram(f *testing.F) {
	c := newIdleControl(f)
	c.places.SetEndpoints([]places.Endpoint{{ID: "a", Born: 1, Slots: 4}, {ID: "b", Born: 1, Slots: 4}})
	peer := report{From: "front-2", Address: "127.0.0.1:2", Places: true, Incarnation: "x", Sequence: 1, IntervalMS: 20, Full: true}
	f.Add(encode(peer))
	hostile := peer
	hostile.Sequence = 2
	hostile.IntervalMS, hostile.Loads, hostile.Demand = math.MaxInt64, map[string][2]int{"a": {-5, math.MaxInt}}, map[string]int{"svc": math.MinInt}
	hostile.Memory = map[string][2]int{"a": {math.MaxInt, math.MinInt}, "b": {-1, math.MaxInt}}
	hostile.Usage, hostile.Levels, hostile.ListMS = map[string]float64{"x": math.NaN()}, map[string]float64{"x": math.Inf(-1)}, []int64{math.MinInt64, math.MaxInt64}
	hostile.Limits = []limitState{{Endpoint: "a", Born: 1, Limited: true, Rate: math.NaN(), AgeMS: math.MinInt64}, {Endpoint: "b", Born: 1, Limited: true, Rate: -3, AgeMS: math.MaxInt64}}
	hostile.Subjects = []subjectEvidence{
		{ID: 1, Request: true, Crashes: [][2]uint64{{1, math.MaxUint64}, {2, 0}}, BeganMS: []int64{math.MinInt64}, Convicted: true, Trials: math.MaxInt, AgeMS: math.MinInt64},
		{ID: 2, Answered: true, AnswerMS: math.MinInt64, Crashes: [][2]uint64{{1, 5}}},
	}
	f.Add(encode(hostile))
	f.Add(encode(directReport{From: "front-2", Ask: &permitAsk{Limit: limitState{Endpoint: "a", Born: 1, Limited: true, Rate: math.Inf(1)}, Requests: math.MaxInt, Value: math.NaN(), Received: math.MinInt}}))
	f.Add(encode(directReport{From: "front-2", Grant: &permitGrant{Endpoint: "a", Born: 1, Permits: math.MaxInt}}))
	f.Add(encode(directReport{From: "front-2", Begun: []begunStream{{Key: math.MaxUint64, Service: "svc", Version: "v1", Ambiguous: true}, {}}}))
	f.Add(encode(report{From: "front-2", Listed: &versionSummary{SinceMS: math.MinInt64, Era: math.MaxInt64, Offset: -1, Versions: map[string][]string{"": nil}}}))
	f.Add(encode(directReport{From: "front-2", Statuses: []placeStatus{
		{Endpoint: "a", Born: 1, Sequence: math.MaxUint64, Running: math.MinInt, Prompts: math.MaxInt, Unused: math.MaxInt, Received: math.MinInt, Wanted: math.MaxInt, Value: math.Inf(1)},
		{Endpoint: "b", Born: 1, Sequence: 1, Wanted: math.MaxInt, Value: 1},
		{},
	}}))
	f.Add(encode(directReport{From: "front-2", Statuses: []placeStatus{{Endpoint: "a", Born: 1, Sequence: 1, Running: math.MaxInt, Received: math.MaxInt, Wanted: 5, Value: math.MaxFloat64}}}))
	f.Add(encode(directReport{From: "front-2", Statuses: make([]placeStatus, maxPlaceEntries+1)}))
	f.Add(encode(directReport{From: "front-2", Places: []placeAnswer{{Endpoint: "a", Born: 1, Granted: math.MaxInt, Running: math.MinInt, Prompts: math.MaxInt}, {}}}))
	f.Add([]byte{0xa1, 0x14, 0xf6})
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		m, err := decodeDatagram(data)
		if err != nil {
			return
		}
		m.apply(c)
		c.tick()
		for _, id := range c.sendLimits.Limited() {
			rate, _ := c.sendLimits.Rate(id)
			g.Expect(rate).To(BeNumerically(">", 0))
		}
		for _, s := range c.dump().Places {
			g.Expect(s.Unused).To(BeNumerically("<=", 4))
			g.Expect(s.InUse).To(BeNumerically(">=", 0))
		}
		g.Expect(c.dump().ID).To(Equal("front-1"))
	})
}

// The events of a stream are its bytes up to each empty line, however the stream is cut.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n"), 3)
	f.Add([]byte("\n\n\r\ndata: x\n\n"), 1)
	f.Add([]byte("data: cut"), 100)
	f.Fuzz(func(t *testing.T, body []byte, size int) {
		g := NewWithT(t)
		events := newEventReader(&pieces{data: body, size: min(max(size, 1), 1<<16)})
		var joined []byte
		for {
			err := events.next()
			if err == io.EOF {
				g.Expect(bytes.TrimSpace(body[len(joined):])).To(BeEmpty(), "complete only after the end of an event")
				return
			}
			if err != nil {
				return
			}
			joined = append(joined, events.event...)
			g.Expect(bytes.HasPrefix(body, joined)).To(BeTrue())
			g.Expect(bytes.HasSuffix(events.event, []byte("\n"))).To(BeTrue())
			g.Expect(bytes.TrimSpace(events.event)).NotTo(BeEmpty())
		}
	})
}

// pieces is a reader that returns at most size bytes at a time.
type pieces struct {
	data []byte
	size int
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.data) == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), p.size)], p.data)
	p.data = p.data[n:]
	return n, nil
}

// Any row is one of another entry that reports can be sent to, or an error.
func FuzzDecodeMember(f *testing.F) {
	f.Add("front-2", []byte(`{"address":"127.0.0.1:7600","failure_domain":"a","incarnation":"x","beat":1,"convicted_parts":[{"id":"zz","trials":-1}]}`))
	f.Add("front-2", []byte(`{"address":"127.0.0.1:65536"}`))
	f.Add("front-2", []byte(`{"address":"127.0.0.1:0","beat":99999999999999999999}`))
	f.Add("\xff", []byte(strings.Repeat("[", 100_000)))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		g := NewWithT(t)
		row, err := decodeMember(mirror.Record{Key: key, Value: value})
		if err != nil {
			return
		}
		_, err = netip.ParseAddrPort(row.Address)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(utf8.ValidString(key)).To(BeTrue())
	})
}

// Any record is origins, which are encoded to the same again, or an error.
func FuzzDecodeOrigins(f *testing.F) {
	g := NewWithT(f)
	data, err := encodeOrigins([]origin.Origin{{Key: 1, Service: "s", Version: "v1"}, {Key: math.MaxUint64, Service: "s", Version: "v1"}, {Key: 1, Service: "s", Version: "v2", Ambiguous: true}})
	g.Expect(err).NotTo(HaveOccurred())
	f.Add(data)
	f.Add([]byte{})
	f.Add(data[:len(data)-1])
	f.Add(bytes.Repeat([]byte{0x81}, 10_000))
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		origins, err := decodeOrigins(data)
		if err != nil {
			return
		}
		again, err := encodeOrigins(origins)
		g.Expect(err).NotTo(HaveOccurred())
		decoded, err := decodeOrigins(again)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(decoded).To(ConsistOf(origins))
	})
}
