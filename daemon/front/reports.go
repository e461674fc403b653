package front

import (
	"maps"
	"math"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"primrosespoke.dev/coord/allowance"
	"primrosespoke.dev/coord/fairshare"
	"primrosespoke.dev/coord/scheduler"
	"primrosespoke.dev/coord/staleness"
)

// maxDatagramBytes limits a report between entries.
const maxDatagramBytes = 60 << 10

// levelsReportInterval is the number of full reports of which one carries the levels of
// the usage caps and the software versions that were listed. Only a front that has just started needs
// them.
const levelsReportInterval = 8

// workReportInterval is the number of full reports of which one carries the recent work of client
// accounts, which changes far more slowly than reports are sent.
const workReportInterval = 4

// reportEncoding encodes floating-point numbers in the fewest bytes.
var reportEncoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// report is what entries send each other, often and without acknowledgement. It holds
// current state and no changes, so the next report makes up for a lost one. Keys 20 to 24 are
// those of directReport, by which entries tell the two apart.
type report struct {
	From            string                 `cbor:"1,keyasint"`
	Address         string                 `cbor:"2,keyasint"`
	Incarnation     string                 `cbor:"3,keyasint"`
	Sequence        uint64                 `cbor:"4,keyasint"`
	Loads           map[string][2]int      `cbor:"5,keyasint,omitempty"`  // running requests and prompt tokens, by endpoint ID
	Demand          map[string]int         `cbor:"6,keyasint,omitempty"`  // requests in progress and waiting, by service
	Usage           map[string]float64     `cbor:"7,keyasint,omitempty"`  // admitted since the entry's start, by account
	Levels          map[string]float64     `cbor:"8,keyasint,omitempty"`  // what is left of the usage caps, by account
	IntervalMS      int64                  `cbor:"9,keyasint"`            // time to the next full report
	Full            bool                   `cbor:"10,keyasint,omitempty"` // it goes to all entries and carries usage
	Subjects        []subjectEvidence      `cbor:"12,keyasint,omitempty"` // evidence about parts of prompts and requests, in full reports
	Limits          []limitState           `cbor:"13,keyasint,omitempty"` // limits that endpoints name
	ListMS          []int64                `cbor:"11,keyasint,omitempty"` // age of the endpoint list and how long it was read steadily; empty = never read
	ConfigurationMS []int64                `cbor:"14,keyasint,omitempty"` // the same of the configuration
	UptimeMS        int64                  `cbor:"17,keyasint,omitempty"` // since the entry's start, in full reports; 0 = unknown
	Arrivals        map[string]float64     `cbor:"16,keyasint,omitempty"` // requests per second, by plain service
	Places          bool                   `cbor:"18,keyasint,omitempty"` // the entry gives out places of endpoints
	Memory          map[string][2]int      `cbor:"19,keyasint,omitempty"` // tokens of memory that the requests need and that are reserved, by endpoint ID, where memory counts
	Rollouts        []reportedRollout      `cbor:"40,keyasint,omitempty"` // in full reports; those with a verdict in the store in some of them
	Listed          *versionSummary        `cbor:"15,keyasint,omitempty"` // versions of endpoints that were listed, in some full reports
	TakesPart       bool                   `cbor:"31,keyasint,omitempty"` // the entry understands reports with LoadsInPart
	LoadsInPart     bool                   `cbor:"32,keyasint,omitempty"` // Loads holds the endpoints of the receiver's failure domain alone
	Work            map[string]accountWork `cbor:"30,keyasint,omitempty"` // recent work of client accounts, by service, in full reports
	Excess          map[string]int         `cbor:"33,keyasint,omitempty"` // the part of Demand that waits beyond its accounts' shares, by service
}

// accountWork is the recent work of client accounts at one service, in fairshare.Unit.
type accountWork struct {
	Started int64            `cbor:"1,keyasint"`
	Offered map[string]int64 `cbor:"2,keyasint,omitempty"` // by account
}

// maxReportInterval limits the interval that another entry's report may state.
const maxReportInterval = 5 * time.Second

// missedReports is how many reports in a row may be lost or late before an entry counts
// as unreachable.
const missedReports = 3

// reportSchedule tracks when reports are due. Frequent reports go to the entries of this
// entry's group and carry loads alone; full reports go to all entries and carry usage
// as well. With places given out by homes there are full reports alone.
type reportSchedule struct {
	group           []string // IDs of the other entries in the group; all of them if there is one group only
	lastGroupReport time.Duration
	lastFullReport  time.Duration
	sequence        uint64
	fullReports     uint64
	byDomain        bool // the group is that of the own failure domain
	urgent          bool // evidence about a crash does not wait for the next full report
}

// interval returns the time between two reports to a number of entries. It grows with
// the number, so that the reports that an entry sends and receives per second are bounded.
func (t Timing) interval(entries int) time.Duration {
	return max(t.ReportInterval, t.ReportPerMember*time.Duration(entries))
}

// sendReports sends the reports that are due.
func (c *control) sendReports(now time.Duration) {
	r, timing := &c.reporting, c.front.config.Timing
	switch {
	case len(c.members.all) == 0:
	case now >= r.lastFullReport+timing.interval(c.members.count()), r.urgent && now >= r.lastFullReport+timing.ReportInterval:
		r.lastFullReport, r.lastGroupReport, r.urgent = now, now, false
		c.sendFullReport(c.fullReport(now))
	case !c.front.config.Places && len(r.group) > 0 && len(r.group) < len(c.members.all) && now >= r.lastGroupReport+timing.interval(len(r.group)+1):
		r.lastGroupReport = now
		c.report(c.loadReport(now), r.group)
	}
}

// loadReport returns a report of this entry's load at the endpoints and its demand.
func (c *control) loadReport(now time.Duration) report {
	own := c.scheduler.Report(now)
	loads := make(map[string][2]int, len(own.Loads))
	for id, l := range own.Loads {
		if l.Running > 0 || l.PromptTokens > 0 {
			loads[id] = [2]int{l.Running, l.PromptTokens}
		}
	}
	c.reporting.sequence++
	return report{
		From: c.front.config.ID, Address: c.front.config.PeerAddress, Incarnation: c.front.incarnation, Sequence: c.reporting.sequence,
		Loads: loads, Memory: encodeMemory(own.Loads), Demand: own.Demand, Arrivals: own.Arrivals, Excess: own.Excess, IntervalMS: c.front.config.Timing.interval(c.members.count()).Milliseconds(),
		ListMS: encodeAges(c.list, now), ConfigurationMS: encodeAges(c.configurationSource, now), Limits: encodeLimits(c.sendLimits.Report(now, maxReportedLimits)), Places: c.front.config.Places && !c.front.draining.Load(),
		TakesPart: c.reporting.byDomain,
	}
}

func encodeWork(work map[string]fairshare.Work) map[string]accountWork {
	encoded := make(map[string]accountWork, len(work))
	for service, w := range work {
		encoded[service] = accountWork(w)
	}
	return encoded
}

func decodeWork(encoded map[string]accountWork) map[string]fairshare.Work {
	work := make(map[string]fairshare.Work, len(encoded))
	for service, w := range encoded {
		work[service] = fairshare.Work(w)
	}
	return work
}

// encodeMemory returns the memory of loads that say it. Entries of earlier versions ignore it.
func encodeMemory(loads map[string]scheduler.Load) map[string][2]int {
	var encoded map[string][2]int
	for id, l := range loads {
		if l.MemoryTokens == 0 && l.ReservedTokens == 0 {
			continue
		}
		if encoded == nil {
			encoded = map[string][2]int{}
		}
		encoded[id] = [2]int{l.MemoryTokens, l.ReservedTokens}
	}
	return encoded
}

// decodeLoads returns the loads of a report. Of an entry of an earlier version the memory is unknown.
func (r *report) decodeLoads() map[string]scheduler.Load {
	loads := make(map[string]scheduler.Load, len(r.Loads))
	for id, l := range r.Loads {
		loads[id] = scheduler.Load{Running: l[0], PromptTokens: l[1]}
	}
	for id, m := range r.Memory {
		l := loads[id]
		l.MemoryTokens, l.ReservedTokens = m[0], m[1]
		loads[id] = l
	}
	return loads
}

// encodeAges returns the age of what a monitor follows, and how long it was read steadily;
// empty = never read.
func encodeAges(m *staleness.Monitor, now time.Duration) []int64 {
	r, known := m.Report(now)
	if !known {
		return nil
	}
	return []int64{r.Age.Milliseconds(), r.Steady.Milliseconds()}
}

// fullReport returns a report that also carries usage.
func (c *control) fullReport(now time.Duration) report {
	r := c.loadReport(now)
	r.Full, r.Usage = true, c.limiter.Usage()
	if c.reporting.fullReports%workReportInterval == 0 {
		r.Work = encodeWork(c.scheduler.Work(now))
	}
	r.UptimeMS = max((now - c.startedAt).Milliseconds(), 1)
	r.Subjects = encodeEvidence(c.quarantine.Report(now, maxReportedSubjects))
	r.Rollouts = c.encodeRollouts(now, c.reporting.fullReports%levelsReportInterval == 0)
	if c.reporting.fullReports%levelsReportInterval == 0 {
		r.Levels = c.limiter.Levels(now)
		r.Listed = c.encodeVersions(now)
	}
	c.reporting.fullReports++
	return r
}

// report sends a report, or a datagram to one entry alone, to the named entries.
func (c *control) report(r any, names []string) {
	data, err := reportEncoding.Marshal(r)
	if err != nil {
		c.front.log.Error().Err(err).Msg("report_unencodable")
		return
	}
	for _, name := range names {
		if s := c.members.all[name]; s != nil {
			c.front.metrics.reportSent(len(data), s.FailureDomain != "" && s.FailureDomain != c.front.config.FailureDomain)
			c.sendDatagram(s.Address, data)
		}
	}
}

func (f *Front) sendReport(address string, data []byte) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		f.log.Warn().Str("address", address).Err(err).Msg("member_address_unusable")
		return
	}
	if _, err := f.peerSocket.WriteToUDPAddrPort(data, to); err != nil {
		f.metrics.reportsUnsent.Add(f.baseContext, 1) // the next report makes up for it
	}
}

// listen receives the other entries' reports until the socket is closed.
func (f *Front) listen() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := f.peerSocket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.log.Warn().Err(err).Msg("report_unreadable")
			continue
		}
		m, err := decodeDatagram(buffer[:n])
		if err != nil {
			f.log.Warn().Err(err).Msg("report_unreadable")
			continue
		}
		f.send(m)
	}
}

// decodeDatagram decodes a report, or a datagram to this entry alone.
func decodeDatagram(data []byte) (message, error) {
	var direct directReport
	if err := cbor.Unmarshal(data, &direct); err != nil {
		return nil, errors.Wrap(err, "datagram")
	}
	if direct.isDirect() {
		if err := checkPlaces(direct); err != nil {
			return nil, err
		}
		if direct.Ask != nil && !direct.Ask.usable() {
			return nil, errors.New("datagram: ask for permits with amounts that are no numbers")
		}
		return directMessage{direct}, nil
	}
	var r report
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrap(err, "report")
	}
	r.dropUnusable()
	return reportMessage{r}, nil
}

// dropUnusable drops amounts that are no numbers, which would spread to the sums that they are
// added to, and bounds the rest.
func (r *report) dropUnusable() {
	for _, amounts := range []map[string]float64{r.Usage, r.Levels} {
		maps.DeleteFunc(amounts, func(_ string, amount float64) bool { return !isFinite(amount) })
	}
	maps.DeleteFunc(r.Arrivals, func(_ string, rate float64) bool { return !(rate > 0 && rate <= maxReportedRate) })
	for _, pairs := range []map[string][2]int{r.Loads, r.Memory} {
		for id, l := range pairs {
			pairs[id] = [2]int{clampCount(l[0]), clampCount(l[1])}
		}
	}
	for service, n := range r.Demand {
		r.Demand[service] = clampCount(n)
	}
	for service, n := range r.Excess {
		r.Excess[service] = min(clampCount(n), r.Demand[service])
	}
	work := decodeWork(r.Work)
	scheduler.LimitAccounts(work)
	r.Work = encodeWork(work)
	r.IntervalMS = min(max(r.IntervalMS, 0), maxReportInterval.Milliseconds())
	r.Limits = slices.DeleteFunc(r.Limits, func(l limitState) bool { return !l.usable() })
}

// startedAt returns when another entry started, on this entry's clock; 0 = unknown.
func startedAt(now time.Duration, uptimeMS int64) time.Duration {
	if uptimeMS <= 0 || uptimeMS > now.Milliseconds() {
		return 0
	}
	return now - time.Duration(uptimeMS)*time.Millisecond
}

// maxReportedCount limits the counts that another entry reports, so that their sums can't overflow.
const maxReportedCount = 1 << 30

// maxReportedRate is the most requests per second of one service that another entry can have.
const maxReportedRate = 1e5

func clampCount(n int) int {
	return min(max(n, 0), maxReportedCount)
}

func isFinite(x float64) bool {
	return !math.IsNaN(x) && !math.IsInf(x, 0)
}

// reportMessage delivers another entry's report.
type reportMessage struct{ report report }

func (m reportMessage) apply(c *control) {
	r := m.report
	now := c.front.now()
	if r.From == c.front.config.ID || r.From == "" {
		return
	}
	if !isMemberAddress(r.Address) {
		c.front.log.Warn().Str("member", r.From).Str("address", r.Address).Err(errMemberAddress).Msg("report_unreadable")
		return
	}
	if known := c.members.all[r.From]; known != nil && known.Incarnation != r.Incarnation {
		c.tellOrigins(c.origins.Running()...) // the incarnation before may have been their home
	}
	if c.members.recordReport(now, r.From, r.Address, r.Incarnation) {
		c.membersChanged(now)
	}
	if !c.members.acceptSequence(r.From, r.Incarnation, r.Sequence) {
		return
	}
	loads := c.completeLoads(now, c.members.all[r.From], r, r.decodeLoads())
	if len(r.Limits) > 0 {
		c.mergeLimits(now, r.From, r.Limits)
	}
	validFor := missedReports * min(time.Duration(r.IntervalMS)*time.Millisecond, maxReportInterval)
	c.members.setHeard(now, r.From, max(validFor, minHeardTime))
	c.members.all[r.From].places, c.members.all[r.From].takesPart = r.Places, r.TakesPart
	if c.front.config.Places && !r.Places { // it gives out none, or runs a version without
		c.places.SetForeign(now, r.From, placeLoads(loads))
	}
	loadReport := scheduler.Report{Loads: loads, Demand: r.Demand, Arrivals: r.Arrivals, Excess: r.Excess, TTL: validFor}
	if r.Full && r.Work != nil {
		loadReport.Work = decodeWork(r.Work)
	}
	c.scheduler.SetPeerReport(now, r.From, loadReport)
	if len(r.ListMS) == 2 {
		c.list.SetPeer(now, r.From, staleness.Report{
			Age: age(r.ListMS[0]), Steady: age(r.ListMS[1]),
		})
		c.reviewOutage()
	}
	if len(r.ConfigurationMS) == 2 {
		c.configurationSource.SetPeer(now, r.From, staleness.Report{
			Age: age(r.ConfigurationMS[0]), Steady: age(r.ConfigurationMS[1]),
		})
	}
	if r.Listed != nil {
		c.receiveVersions(now, r.Listed)
	}
	if len(r.Subjects) > 0 {
		c.subjectsChanged(c.quarantine.Merge(now, decodeEvidence(r.Subjects)))
	}
	if c.rollouts.set != nil && len(r.Rollouts) > 0 {
		c.rollouts.set.Receive(now, r.From, r.Incarnation, decodeRollouts(r.Rollouts))
	}
	if r.Full {
		c.limiter.ReceiveReport(now, r.From, r.Incarnation, startedAt(now, r.UptimeMS), allowance.Usage(r.Usage), r.Levels)
		c.limiter.SetPeerTimeout(r.From, validFor)
	}
}
