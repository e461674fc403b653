package front

import (
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"primrosespoke.dev/coord/allowance"
	"primrosespoke.dev/coord/scheduler"
)

// maxDatagram bounds a report between entries, in bytes.
const maxDatagram = 60 << 10

// levelsEvery is how many reports carry the levels of the caps once. Only a front that
// has just started needs them.
const levelsEvery = 8

// reportEncoding writes numbers in the fewest bytes.
var reportEncoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// report is what entries tell each other, often and without acknowledgement: all of
// it is state, so a lost report is made good by the next one.
type report struct {
	From        string             `cbor:"1,keyasint"`
	Address     string             `cbor:"2,keyasint"`
	Incarnation string             `cbor:"3,keyasint"`
	Sequence    uint64             `cbor:"4,keyasint"`
	Loads       map[string][2]int  `cbor:"5,keyasint,omitempty"` // endpoint: running, prompt tokens
	Demand      map[string]int     `cbor:"6,keyasint,omitempty"`
	Usage       map[string]float64 `cbor:"7,keyasint,omitempty"`
	Levels      map[string]float64 `cbor:"8,keyasint,omitempty"`
	IntervalMS  int64              `cbor:"9,keyasint"`            // until the next full report
	Full        bool               `cbor:"10,keyasint,omitempty"` // with usage
}

// maxReportInterval bounds the interval that another entry may name.
const maxReportInterval = 5 * time.Second

// missedReports is how many reports in a row may be lost or late before an entry counts as unheard.
const missedReports = 3

// reporting says when reports are due. Those to the entries of the own group tell of
// loads alone and are frequent; those to all tell of usage as well.
type reporting struct {
	group      []string // names; empty = all are in one group
	groupSent  time.Duration
	sent       time.Duration
	sequence   uint64
	fullNumber uint64
}

// interval is the time between two reports to a number of entries. It grows with
// them, so that the reports that an entry sends and takes in a second are bounded.
func (t Timing) interval(entries int) time.Duration {
	return max(t.ReportInterval, t.ReportPerMember*time.Duration(entries))
}

// sendReports sends the reports that are due.
func (c *control) sendReports(now time.Duration) {
	r, timing := &c.reporting, c.front.cfg.Timing
	switch {
	case len(c.members.all) == 0:
	case now >= r.sent+timing.interval(c.members.count()):
		r.sent, r.groupSent = now, now
		c.report(c.fullReport(now), c.members.names())
	case len(r.group) < len(c.members.all) && now >= r.groupSent+timing.interval(len(r.group)+1):
		r.groupSent = now
		c.report(c.loadReport(), r.group)
	}
}

// loadReport tells of what this entry holds.
func (c *control) loadReport() report {
	own := c.scheduler.Report()
	loads := make(map[string][2]int, len(own.Loads))
	for id, l := range own.Loads {
		loads[id] = [2]int{l.Running, l.PromptTokens}
	}
	c.reporting.sequence++
	return report{
		From: c.front.cfg.ID, Address: c.front.cfg.PeerAddress, Incarnation: c.front.incarnation, Sequence: c.reporting.sequence,
		Loads: loads, Demand: own.Demand, IntervalMS: c.front.cfg.Timing.interval(c.members.count()).Milliseconds(),
	}
}

// fullReport tells of usage as well.
func (c *control) fullReport(now time.Duration) report {
	r := c.loadReport()
	r.Full, r.Usage = true, c.ledger.Usage()
	if c.reporting.fullNumber%levelsEvery == 0 {
		r.Levels = c.ledger.Levels(now)
	}
	c.reporting.fullNumber++
	return r
}

// report sends a report to other entries.
func (c *control) report(r report, names []string) {
	data, err := reportEncoding.Marshal(r)
	if err != nil {
		c.front.log.Error().Err(err).Msg("report_unencodable")
		return
	}
	for _, name := range names {
		if s := c.members.all[name]; s != nil {
			c.front.sendReport(s.Address, data)
		}
	}
}

func (f *Front) sendReport(address string, data []byte) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		f.log.Warn().Str("address", address).Err(err).Msg("member_address_unusable")
		return
	}
	if _, err := f.peers.WriteToUDPAddrPort(data, to); err != nil {
		f.metrics.reportsLost.Add(f.base, 1) // the next report makes it good
	}
}

// listen takes in the others' reports until the socket is closed.
func (f *Front) listen() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := f.peers.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.log.Warn().Err(err).Msg("report_unreadable")
			continue
		}
		var r report
		if err := cbor.Unmarshal(buffer[:n], &r); err != nil {
			f.log.Warn().Err(err).Msg("report_unreadable")
			continue
		}
		f.send(reportMessage{r})
	}
}

type reportMessage struct{ report report }

func (m reportMessage) apply(c *control) {
	r := m.report
	now := c.front.now()
	if r.From == c.front.cfg.ID || r.From == "" {
		return
	}
	if c.members.heard(now, r.From, r.Address, r.Incarnation) {
		c.membersChanged(now)
	}
	if !c.members.inOrder(r.From, r.Incarnation, r.Sequence) {
		return
	}
	loads := make(map[string]scheduler.Load, len(r.Loads))
	for id, l := range r.Loads {
		loads[id] = scheduler.Load{Running: l[0], PromptTokens: l[1]}
	}
	counts := missedReports * min(time.Duration(r.IntervalMS)*time.Millisecond, maxReportInterval)
	c.scheduler.SetPeerReport(now, r.From, scheduler.Report{Loads: loads, Demand: r.Demand, TTL: counts})
	if r.Full {
		c.ledger.Report(now, r.From, r.Incarnation, allowance.Usage(r.Usage), r.Levels)
		c.ledger.SetSilence(r.From, counts)
	}
}
