package front

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/origin"
)

// Guards against a stream that goes on at another version at a front that stood still or was cut off
// while an endpoint of a new version was listed and removed: what it reads then must not count as
// proof that there was one version only.
func TestEndpointsThatCameAndWentBetweenTwoReadsAreNoProofOfASoleVersion(t *testing.T) {
	listed := func(offset int64, id, version string) row {
		return row{offset: offset, id: id, endpoint: directory.Endpoint{ID: id, Service: "svc", Address: "127.0.0.1:1", Version: version, Slots: 2, Born: 1}}
	}
	removed := func(offset int64, id string) row { return row{offset: offset, id: id, removed: true} }
	before := []row{listed(0, "a", "v1"), listed(1, "gone", "v1")}
	for name, c := range map[string]struct {
		read rowsMessage // after the one that showed v1 alone
		want origin.Verdict
	}{
		"nothing changed":              {rowsMessage{end: 2}, origin.Sole},
		"one of the version left":      {rowsMessage{rows: []row{removed(2, "gone")}, end: 3, relayed: true}, origin.Sole},
		"one of the version came":      {rowsMessage{rows: []row{listed(2, "b", "v1")}, end: 3}, origin.Sole},
		"another came and stays":       {rowsMessage{rows: []row{listed(2, "b", "v2")}, end: 3}, origin.Several},
		"another came and went":        {rowsMessage{rows: []row{listed(2, "b", "v2"), removed(3, "b")}, end: 4}, origin.Several},
		"one changed and changed back": {rowsMessage{rows: []row{listed(2, "a", "v2"), listed(3, "a", "v1")}, end: 4}, origin.Several},
		"a copy shows that one went":   {rowsMessage{rows: []row{removed(3, "b")}, end: 4, relayed: true}, origin.Several},
		"the whole list was read":      {rowsMessage{rows: before, full: true, end: 4}, origin.Several},
		"a copy of the whole list":     {rowsMessage{rows: before, full: true, end: 4, relayed: true}, origin.Several},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f, err := New(Config{ID: "front-1", CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0"})
			g.Expect(err).NotTo(HaveOccurred())
			defer f.closeListeners()
			control := newControl(f)
			first := f.now()
			rowsMessage{rows: before, full: true, end: 2, asOf: first}.apply(control)
			time.Sleep(5 * time.Millisecond)
			c.read.asOf = f.now()
			c.read.apply(control)
			const reading = 2 * time.Millisecond // more than passes while a message is applied
			_, verdict := control.versions.SoleVersion("svc", c.read.asOf, c.read.asOf-first-reading)
			g.Expect(verdict).To(Equal(c.want))
			time.Sleep(5 * time.Millisecond)
			later := rowsMessage{end: c.read.end, asOf: f.now()}
			later.apply(control)
			if c.read.full || c.read.relayed && c.want == origin.Several {
				_, verdict = control.versions.SoleVersion("svc", later.asOf, later.asOf-c.read.asOf-reading)
				g.Expect(verdict).To(Equal(origin.Sole), "what is followed from there on is proof again")
			}
		})
	}
}
