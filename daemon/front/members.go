package front

import (
	"encoding/json"
	"net/netip"
	"slices"
	"sort"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/mirror"
	"primrosespoke.dev/coord/scheduler"
)

// member is the row by which an entry announces itself to the others in the store.
type member struct {
	// Address receives the reports and topic reads of other entries.
	Address string `json:"address"`
	// FailureDomain is the failure domain that the entry runs in.
	FailureDomain string `json:"failure_domain"`
	// Incarnation identifies one run of the process; each start has a new one.
	Incarnation string `json:"incarnation"`
	// Beat is a heartbeat counter that grows with each write.
	Beat int64 `json:"beat"`
}

// memberState is what an entry knows of another one.
type memberState struct {
	member
	lastChange time.Duration             // when its row last changed or its last report came
	sequence   uint64                    // of its newest report
	heardUntil time.Duration             // when too many of its reports will have been missed
	places     bool                      // it gives out places of endpoints
	takesPart  bool                      // it understands reports with loads in part
	loads      map[string]scheduler.Load // of its newest report with all loads
	loadsAt    time.Duration             // when that came; 0 = never
}

// members is the set of the other entries. An entry that stops writing its row and
// sending reports remains a member for ttl, since it may be partitioned from the store
// and still serve callers.
type members struct {
	self string
	ttl  time.Duration
	all  map[string]*memberState
}

func newMembers(self string, ttl time.Duration) *members {
	return &members{self: self, ttl: ttl, all: map[string]*memberState{}}
}

// errMemberAddress is why a row or report names no entry that reports can be sent to.
var errMemberAddress = errors.New("no IP address and port")

// isMemberAddress tells whether reports can be sent to an address: an IP address and a port.
func isMemberAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0
}

// decodeMember decodes a row. Another program may have written it.
func decodeMember(r mirror.Record) (memberRow, error) {
	var row memberRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return memberRow{}, errors.Wrap(err, "row")
	}
	switch {
	case r.Key == "" || strings.ContainsRune(r.Key, utf8.RuneError):
		return memberRow{}, errors.New("key is no name of an entry")
	case !isMemberAddress(row.Address):
		return memberRow{}, errMemberAddress
	}
	return row, nil
}

// put stores a row. It reports whether the set of entries, an address or a failure domain
// changed.
func (m *members) put(now time.Duration, id string, row member) bool {
	if id == m.self {
		return false
	}
	known := m.all[id]
	if known == nil {
		m.all[id] = &memberState{member: row, lastChange: now}
		return true
	}
	if known.member == row {
		return false
	}
	moved := known.Address != row.Address || known.FailureDomain != row.FailureDomain
	known.member, known.lastChange = row, now
	return moved
}

// recordReport records that a report of an entry arrived. It reports whether the set of
// entries or an address changed.
func (m *members) recordReport(now time.Duration, id, address, incarnation string) bool {
	if id == m.self {
		return false
	}
	if known := m.all[id]; known != nil {
		known.lastChange = now
		moved := known.Address != address
		if known.Incarnation != incarnation {
			known.sequence, known.loads, known.loadsAt, known.takesPart = 0, nil, 0, false
		}
		known.Address, known.Incarnation = address, incarnation
		return moved
	}
	m.all[id] = &memberState{member: member{Address: address, Incarnation: incarnation}, lastChange: now}
	return true
}

// acceptSequence reports whether a report is newer than those received before, and
// records its number. Datagrams may arrive out of order.
func (m *members) acceptSequence(id, incarnation string, sequence uint64) bool {
	known := m.all[id]
	if known == nil || known.Incarnation != incarnation || sequence <= known.sequence {
		return false
	}
	known.sequence = sequence
	return true
}

// setHeard records that a report came from an entry, and for how long it counts as heard.
func (m *members) setHeard(now time.Duration, id string, lasts time.Duration) {
	if known := m.all[id]; known != nil {
		known.heardUntil = now + lasts
	}
}

// heard returns the names of the entries whose reports arrive.
func (m *members) heard(now time.Duration) []string {
	var names []string
	for id, s := range m.all {
		if now < s.heardUntil {
			names = append(names, id)
		}
	}
	return names
}

// givingPlaces returns the names of the entries that are heard and give out places.
func (m *members) givingPlaces(now time.Duration) []string {
	return slices.DeleteFunc(m.heard(now), func(id string) bool { return !m.all[id].places })
}

// remove removes an entry. It reports whether the entry was known.
func (m *members) remove(id string) bool {
	_, known := m.all[id]
	delete(m.all, id)
	return known
}

// expire removes the entries whose ttl has passed. It reports whether there were any.
func (m *members) expire(now time.Duration) bool {
	gone := false
	for id, s := range m.all {
		if now >= s.lastChange+m.ttl {
			delete(m.all, id)
			gone = true
		}
	}
	return gone
}

func (m *members) names() []string {
	names := make([]string, 0, len(m.all))
	for id := range m.all {
		names = append(names, id)
	}
	sort.Strings(names)
	return names
}

// failureDomains returns the failure domains of the entries whose rows were read.
func (m *members) failureDomains() map[string]string {
	domains := map[string]string{}
	for id, s := range m.all {
		if s.FailureDomain != "" {
			domains[id] = s.FailureDomain
		}
	}
	return domains
}

// count returns the number of entries, including this one.
func (m *members) count() int {
	return len(m.all) + 1
}

// membersMessage delivers rows of the list of entries.
type membersMessage struct{ records []mirror.Record }

func (m membersMessage) apply(c *control) {
	now := c.front.now()
	changed, ownRow := false, false
	for _, r := range m.records {
		if r.Value == nil {
			delete(c.savedHistories, r.Key)
			changed = c.members.remove(r.Key) || changed
			continue
		}
		ownRow = ownRow || r.Key == c.front.config.ID
		decoded, err := decodeMember(r)
		if err != nil {
			c.front.log.Warn().Str("member", r.Key).Err(err).Msg("member_row_unusable")
			continue
		}
		c.restoreSubjects(decoded.Convicted)
		c.restoreHistory(now, r.Key, decoded.Listed)
		changed = c.members.put(now, r.Key, decoded.member) || changed
	}
	if !c.membersRead {
		c.startEmpty(ownRow)
	}
	if changed || !c.membersRead {
		c.membersRead = true
		c.membersChanged(now)
	}
}

// membersChanged adapts everything that depends on the set of entries: the shares of the
// usage caps and retry budgets, the scheduler and the relay tree.
func (c *control) membersChanged(now time.Duration) {
	names := c.members.names()
	c.front.memberCount.Store(int64(c.members.count()))
	if c.membersRead { // usage caps are divided by the number of all entries, not of those heard so far
		c.limiter.SetPeers(now, names)
	}
	c.scheduler.SetEntries(c.front.config.ID, names)
	c.scheduler.SetFailureDomains(c.members.failureDomains())
	for _, topic := range []Topic{TopicEndpoints, TopicConfiguration} {
		c.source(topic).RetainPeers(func(name string) bool { return c.members.all[name] != nil })
	}
	c.updateReportGroup()
	c.tellOrigins(c.origins.Running()...) // their homes may be others now
	for _, b := range c.budgets {
		b.Resize(c.retryBurst())
	}
	c.front.log.Info().Strs("others", names).Msg("members_changed")
	position := locateRelay(c.front.config.PeerAddress, c.front.config.FailureDomain, c.members)
	if c.front.relay.setPosition(position) {
		c.front.log.Info().Bool("reads_store", position.readsStore).Strs("parents", position.parents).Msg("relay_place_changed")
	}
}
