// Package places gives out the places of endpoints among many entries, so that no two of them
// choose the same place.
//
// The load that it answers: so many entries use an endpoint that what they report to each other is
// older than the time between two of their placements there. Each sees the same endpoint as the
// emptiest, and a third of the requests is sent to engines that are full while places stand idle
// elsewhere. Reports that come more often cost more than they bring, since each goes to all.
//
// So each endpoint has a home, which is one of the entries by rendezvous hashing. The home knows
// how many places each entry holds there. An entry that wants to send a request asks the home; the
// home grants a free place at once, or else the next one that becomes free to the most valuable ask.
// A place is for an entry, not for a request: the entry uses it for the best request that it has by
// then, or returns it.
//
// A grant is no permission. Whatever allows a request to be sent is checked when it is sent, and
// nothing but the load of the endpoints depends on how places are given out. So the home is soft
// state. Messages say what an entry holds and not what has changed, so the next one makes up for a
// lost, late or doubled one. A home that does not answer is left out for a time, and the next one
// asked; an entry that none answers places as if there were none. An entry that has become the home
// only recently gives out a part of the places until it has heard from those that hold some.
//
// The home also learns what fails. An endpoint that has ended looks empty, so its places would be given
// out again and again, and each entry would find out for itself. Once several entries could not reach
// an endpoint, and none has since, its home gives out single places there, one after some time, until
// one of them has reached it. One entry alone may have a broken link.
//
// The package has no I/O, clock or goroutine. Times are offsets on a single clock that the caller
// chooses.
package places

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"primrosespoke.dev/coord/membership"
)

// Config holds the settings of Places.
type Config struct {
	// AnswerTime is how long an answer of a home may take. After MaxUnanswered asks in a row that were
	// not answered, the entry leaves the home out for SilentTime.
	AnswerTime, SilentTime time.Duration
	MaxUnanswered          int
	// UnknownTime is how long an endpoint that its home does not know is used without it.
	UnknownTime time.Duration
	// AskInterval is the time between two asks for places at the same endpoint, and AskTTL how
	// long a home considers one.
	AskInterval, AskTTL time.Duration
	// GrantTTL is how long a granted place may stay unused before it is returned.
	GrantTTL time.Duration
	// ConfirmTime is how long a home counts a place that it granted and the entry has not confirmed.
	ConfirmTime time.Duration
	// RefreshInterval is the time between two messages of an entry that holds places, and HolderTTL
	// how long a home counts them without one.
	RefreshInterval, HolderTTL time.Duration
	// ViewTTL is how long what a home says of an endpoint is used.
	ViewTTL time.Duration
	// SettleTime is how long a new home gives out NewHomeShare of the places only.
	SettleTime   time.Duration
	NewHomeShare float64
	// StallTime is the time between two steps from which on the process counts as suspended.
	StallTime time.Duration
	// Witnesses is how many entries must have failed to reach an endpoint within WitnessTime for it to
	// be closed. It is tried again after MinClosed, which doubles with each failure up to MaxClosed.
	Witnesses            int
	WitnessTime          time.Duration
	MinClosed, MaxClosed time.Duration
	// MaxHolders bounds the entries that a home knows for one endpoint.
	MaxHolders int
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		AnswerTime: 20 * time.Millisecond, SilentTime: 500 * time.Millisecond, MaxUnanswered: 3, UnknownTime: 200 * time.Millisecond,
		AskInterval: 80 * time.Millisecond, AskTTL: 150 * time.Millisecond, GrantTTL: 30 * time.Millisecond, ConfirmTime: 100 * time.Millisecond,
		RefreshInterval: 200 * time.Millisecond, HolderTTL: 650 * time.Millisecond, ViewTTL: 300 * time.Millisecond,
		SettleTime: 200 * time.Millisecond, NewHomeShare: 0.5, StallTime: 300 * time.Millisecond,
		Witnesses: 2, WitnessTime: 2 * time.Second, MinClosed: 250 * time.Millisecond, MaxClosed: 2 * time.Second, MaxHolders: 2048,
	}
}

// Load is what runs at an endpoint.
type Load struct {
	// Running counts requests, PromptTokens those of the prompts that are being read.
	Running, PromptTokens int
}

// Status is what an entry tells the home of an endpoint: what it holds there, and what it wants.
type Status struct {
	Endpoint string
	Born     int64
	// Sequence grows with each status of the sender.
	Sequence uint64
	Held     Load
	// Unused counts places that were granted and are not used yet, and Received all that came so
	// far, by which the home knows those on the way.
	Unused, Received int
	// Wanted is how many more places could be used now, and Value that of the first request.
	Wanted int
	Value  float64
	// Failed and Reached count the runs that could not reach the endpoint, or did.
	Failed, Reached int
}

// Answer is what the home of an endpoint tells an entry: the places that it grants, and what the
// other entries hold.
type Answer struct {
	Endpoint string
	Born     int64
	// Sequence is that of the status that is answered; 0 = the answer comes of its own.
	Sequence uint64
	Granted  int
	Others   Load
	// Closed is for how long nothing will be granted, since entries could not reach the endpoint.
	Closed time.Duration
	// Unknown is set if the home does not know the endpoint, or another incarnation: its list is
	// older or newer.
	Unknown bool
}

// Closure says that an endpoint was closed by its home, or is open again.
type Closure struct {
	Endpoint  string
	Witnesses []string
	// For is after what time one place is given out again; 0 = the endpoint is open.
	For time.Duration
}

// Effects are the messages to send, by the name of the entry that they go to.
type Effects struct {
	Statuses map[string][]Status
	Answers  map[string][]Answer
	// Own is set if this entry has granted itself places, which it can use now.
	Own bool
	// Silent and Answering are the homes that stopped answering, or answer again, since the last step.
	Silent, Answering []string
	// Closures are the endpoints that this entry has closed or opened as their home.
	Closures []Closure
}

// endpoint is what this entry knows of one endpoint, as a user of its places and, if it is the home, as such.
type endpoint struct {
	born  int64
	slots int

	held     Load
	unused   []time.Duration // until when each granted place may be used, sorted
	received int
	wanted   int
	value    float64

	told       Status // as last sent to the home
	toldAt     time.Duration
	toldTo     string
	asked      bool // an ask was sent and not answered since
	askedAt    time.Duration
	unanswered int  // asks in a row
	others     Load // of the other entries, as the home said at othersAt
	othersAt   time.Duration
	othersSaid bool

	failed, reached int           // runs of this entry
	closedTill      time.Duration // as the home said
	unknownTill     time.Duration // the home does not know the endpoint, which is used without it
	failedOnce      bool          // the endpoint could not be reached, or was closed, since it was last reached

	holders map[string]*holder // of the home
	closure closure
}

// closure is what a home knows of failures to reach an endpoint.
type closure struct {
	witnesses map[string]time.Duration // when each entry last failed
	lasts     time.Duration            // 0 = open
	until     time.Duration            // no place is given out before
	tried     bool                     // one was since it was closed, and what became of it is not known
}

// holder is what a home knows of one entry's places.
type holder struct {
	status      Status
	at          time.Duration
	granted     int // places, as Status.Received counts them
	lastGranted time.Duration
	answer      bool // the status is to be answered
	foreign     bool // known from reports: the entry does not ask
}

// inUse returns the places of a holder, those on the way to it included.
func (h *holder) inUse() int {
	return h.status.Held.Running + h.status.Unused + h.onTheWay()
}

func (h *holder) onTheWay() int {
	return max(h.granted-h.status.Received, 0)
}

// Places holds the places that one entry uses and gives out. It is used by one goroutine.
type Places struct {
	cfg       Config
	self      string
	sequence  uint64
	endpoints map[string]*endpoint
	order     []string // IDs of the endpoints, sorted
	entries   []membership.Instance
	ranked    map[string][]string      // the first entries by rendezvous hashing, by endpoint ID
	homeSince map[string]time.Duration // since when this entry is the home, by endpoint ID
	silent    map[string]time.Duration // until when each home that did not answer is left out
	answering []string                 // see Effects
	closures  []Closure                // see Effects
	unknown   map[string][]Answer      // to statuses about endpoints that are not known, by entry
	stepped   time.Duration
}

// New returns the places of an entry that knows no other one.
func New(now time.Duration, self string, cfg Config) *Places {
	return &Places{
		cfg: cfg, self: self, endpoints: map[string]*endpoint{}, entries: []membership.Instance{{ID: self}},
		ranked: map[string][]string{}, homeSince: map[string]time.Duration{}, silent: map[string]time.Duration{}, unknown: map[string][]Answer{}, stepped: now,
	}
}

// Endpoint is an endpoint whose places are given out.
type Endpoint struct {
	ID    string
	Born  int64
	Slots int
}

// SetEndpoints replaces the list of endpoints. Of another incarnation nothing is known.
func (p *Places) SetEndpoints(list []Endpoint) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		known := p.endpoints[e.ID]
		if known == nil || known.born != e.Born {
			known = &endpoint{born: e.Born, holders: map[string]*holder{}}
			p.endpoints[e.ID] = known
		}
		known.slots = max(e.Slots, 1)
	}
	maps.DeleteFunc(p.endpoints, func(id string, _ *endpoint) bool { return !listed[id] })
	maps.DeleteFunc(p.ranked, func(id string, _ []string) bool { return !listed[id] })
	p.order = slices.Sorted(maps.Keys(p.endpoints))
}

// SetEntries sets the names of the other entries that are heard and that give out places.
func (p *Places) SetEntries(others []string) {
	names := append(slices.Clone(others), p.self)
	slices.Sort(names)
	if slices.EqualFunc(names, p.entries, func(name string, known membership.Instance) bool { return name == known.ID }) {
		return
	}
	p.entries = p.entries[:0]
	for _, name := range names {
		p.entries = append(p.entries, membership.Instance{ID: name})
	}
	clear(p.ranked)
	heard := make(map[string]bool, len(names))
	for _, name := range names {
		heard[name] = true
	}
	for _, e := range p.endpoints { // what has ended holds nothing, or is counted once it is heard again
		maps.DeleteFunc(e.holders, func(name string, h *holder) bool { return !heard[name] && !h.foreign })
	}
	maps.DeleteFunc(p.silent, func(home string, _ time.Duration) bool { return !heard[home] })
}

// maxHomes is how many entries may be the home of an endpoint, one after the other, if those before
// do not answer.
const maxHomes = 3

// homesOf returns the entries that may be the home of an endpoint, the first one first.
func (p *Places) homesOf(id string) []string {
	names, known := p.ranked[id]
	if !known {
		for _, e := range membership.Rendezvous(id, p.entries)[:min(len(p.entries), maxHomes)] {
			names = append(names, e.ID)
		}
		p.ranked[id] = names
	}
	return names
}

// Home returns the home of an endpoint, as this entry sees it; empty = none answers, or knows the endpoint.
func (p *Places) Home(now time.Duration, id string) string {
	if e := p.endpoints[id]; e != nil && now < e.unknownTill {
		return ""
	}
	for _, name := range p.homesOf(id) {
		if until, silent := p.silent[name]; !silent || now >= until {
			return name
		}
	}
	return ""
}

// SetHeld says what this entry runs at an endpoint.
func (p *Places) SetHeld(id string, held Load) {
	if e := p.endpoints[id]; e != nil {
		e.held = held
	}
}

// SetWanted says how many requests this entry would send to an endpoint, and the value of the first.
// Places beyond that are returned.
func (p *Places) SetWanted(id string, wanted int, value float64) {
	if e := p.endpoints[id]; e != nil {
		e.wanted, e.value = wanted, value
		e.unused = e.unused[max(len(e.unused)-wanted, 0):]
	}
}

// Regulated reports whether a request to an endpoint needs a place from its home. It needs none
// while no home answers.
func (p *Places) Regulated(now time.Duration, id string) bool {
	return p.endpoints[id] != nil && p.Home(now, id) != ""
}

// Failed records that a run could not reach an endpoint.
func (p *Places) Failed(id string) {
	if e := p.endpoints[id]; e != nil {
		e.failed++
		e.failedOnce = true
	}
}

// Reached records that an endpoint has answered a run.
func (p *Places) Reached(id string) {
	if e := p.endpoints[id]; e != nil {
		e.reached++
	}
}

// Closed reports whether the home of an endpoint has said that it gives out no places now.
func (p *Places) Closed(now time.Duration, id string) bool {
	e := p.endpoints[id]
	switch {
	case e == nil:
		return false
	case p.Home(now, id) == p.self:
		return e.closure.lasts > 0 && now < e.closure.until
	}
	return now < e.closedTill
}

// Unused returns how many places at an endpoint were granted and may be used now.
func (p *Places) Unused(now time.Duration, id string) int {
	e := p.endpoints[id]
	if e == nil {
		return 0
	}
	e.lapse(now)
	return len(e.unused)
}

// lapse drops the places that were not used in time. The next status returns them.
func (e *endpoint) lapse(now time.Duration) {
	for len(e.unused) > 0 && now >= e.unused[0] {
		e.unused = e.unused[1:]
	}
}

// Use takes a granted place for a request that is sent now.
func (p *Places) Use(now time.Duration, id string) {
	if e := p.endpoints[id]; e != nil && p.Unused(now, id) > 0 {
		e.unused = e.unused[1:]
	}
}

// Others returns what the other entries hold at an endpoint, as its home said lately, and how long
// ago that was; false = it did not.
func (p *Places) Others(now time.Duration, id string) (others Load, age time.Duration, known bool) {
	e := p.endpoints[id]
	if e == nil {
		return Load{}, 0, false
	}
	if p.Home(now, id) == p.self {
		return e.sum(p.self), 0, true
	}
	if !e.othersSaid || now > e.othersAt+p.cfg.ViewTTL {
		return Load{}, 0, false
	}
	return e.others, now - e.othersAt, true
}

// sum returns what the holders hold, but for one of them.
func (e *endpoint) sum(but string) Load {
	var l Load
	for name, h := range e.holders {
		if name != but {
			l.Running += h.inUse()
			l.PromptTokens += h.status.Held.PromptTokens
		}
	}
	return l
}

// Step gives out what may be given out now and returns the messages that are due. It must be called
// often, and after each change.
func (p *Places) Step(now time.Duration) Effects {
	effects := Effects{Statuses: map[string][]Status{}, Answers: map[string][]Answer{}}
	if now > p.stepped+p.cfg.StallTime {
		p.resume(now)
	}
	p.stepped = now
	effects.Answering, p.answering = p.answering, nil
	maps.Copy(effects.Answers, p.unknown)
	clear(p.unknown)
	for _, id := range p.order {
		e := p.endpoints[id]
		e.lapse(now)
		if e.asked && now > e.askedAt+p.cfg.AnswerTime {
			e.asked = false
			if e.unanswered++; e.unanswered >= p.cfg.MaxUnanswered && e.toldTo != p.self {
				if _, silent := p.silent[e.toldTo]; !silent {
					effects.Silent = append(effects.Silent, e.toldTo)
				}
				p.silent[e.toldTo] = now + p.cfg.SilentTime
			}
		}
	}
	for _, id := range p.order {
		e, home := p.endpoints[id], p.Home(now, id)
		if home == p.self {
			e.asked, e.unanswered, e.toldTo = false, 0, home
			p.record(now, e, p.self, p.status(id, e))
		} else {
			delete(e.holders, p.self)
			if home != "" {
				if s, due := p.nextStatus(now, id, e, home); due {
					effects.Statuses[home] = append(effects.Statuses[home], s)
				}
			}
		}
		if home != p.self && len(e.holders) == 0 {
			delete(p.homeSince, id)
			continue
		}
		if _, known := p.homeSince[id]; !known {
			p.homeSince[id] = now
		}
		effects.Own = p.grant(now, id, e, effects.Answers) || effects.Own
	}
	effects.Closures, p.closures = p.closures, nil
	return effects
}

// resume forgets what a process that was suspended can't know any more.
func (p *Places) resume(now time.Duration) {
	clear(p.homeSince)
	for _, e := range p.endpoints {
		clear(e.holders)
		e.unused, e.asked, e.othersSaid = nil, false, false
	}
}

// status returns what this entry tells the home now, without a sequence number.
func (p *Places) status(id string, e *endpoint) Status {
	s := Status{Endpoint: id, Born: e.born, Held: e.held, Unused: len(e.unused), Received: e.received, Failed: e.failed, Reached: e.reached}
	if s.Wanted = max(e.wanted-len(e.unused), 0); s.Wanted > 0 {
		s.Value = e.value
	}
	return s
}

// nextStatus returns the status that is due: when places were taken or given back, when more are
// wanted, and from time to time while some are held.
func (p *Places) nextStatus(now time.Duration, id string, e *endpoint, home string) (Status, bool) {
	s := p.status(id, e)
	moved := e.toldTo != home
	if moved {
		e.asked, e.unanswered = false, 0
	}
	changed := s.Held.Running != e.told.Held.Running || s.Unused != e.told.Unused || s.Received != e.told.Received || s.Failed != e.told.Failed ||
		e.failedOnce && s.Reached != e.told.Reached // the home may wait for it
	holds := s.Held.Running > 0 || s.Unused > 0
	asks := s.Wanted > 0 && !e.asked && (changed || moved || e.unanswered > 0 || s.Wanted > e.told.Wanted || now >= e.askedAt+p.cfg.AskInterval)
	if !(changed && !moved || moved && holds || asks || holds && now >= e.toldAt+p.cfg.RefreshInterval) {
		if s.Wanted == 0 {
			e.told.Wanted = 0
		}
		return Status{}, false
	}
	p.sequence++
	s.Sequence = p.sequence
	if asks {
		e.asked, e.askedAt = true, now
	} else if !e.asked {
		s.Wanted, s.Value = min(s.Wanted, e.told.Wanted), e.told.Value
	}
	if s.Reached != e.told.Reached {
		e.failedOnce = false
	}
	e.told, e.toldAt, e.toldTo = s, now, home
	return s, true
}

// ReceiveStatus records what an entry holds and wants. Step answers it.
func (p *Places) ReceiveStatus(now time.Duration, from string, s Status) {
	e := p.endpoints[s.Endpoint]
	if e == nil || e.born != s.Born {
		if s.Wanted > 0 && len(p.unknown[from]) < maxUnknown {
			p.unknown[from] = append(p.unknown[from], Answer{Endpoint: s.Endpoint, Born: s.Born, Sequence: s.Sequence, Unknown: true})
		}
		return
	}
	if from == p.self || !slices.Contains(p.homesOf(s.Endpoint), p.self) {
		return
	}
	if known := e.holders[from]; known != nil && !known.foreign && s.Sequence <= known.status.Sequence && now < known.at+p.cfg.HolderTTL {
		return // out of order
	}
	if h := p.record(now, e, from, s); h != nil {
		h.answer = s.Wanted > 0
	}
}

// record replaces what is known of a holder.
func (p *Places) record(now time.Duration, e *endpoint, from string, s Status) *holder {
	h := e.holders[from]
	if h == nil || h.foreign {
		if s.Held == (Load{}) && s.Unused == 0 && s.Wanted == 0 {
			delete(e.holders, from)
			return nil
		}
		if h == nil && len(e.holders) >= p.cfg.MaxHolders {
			return nil
		}
		h = &holder{granted: s.Received}
		e.holders[from] = h
	}
	if s.Received > h.granted || s.Received < h.status.Received {
		h.granted = s.Received // one of the two was restarted
	}
	switch {
	case h.at == 0 && h.status == (Status{}): // new: what it counted before is not known
	case s.Reached > h.status.Reached:
		p.open(e, s.Endpoint)
	case s.Failed > h.status.Failed:
		p.fail(now, e, s.Endpoint, from)
	}
	s.Held.Running, s.Unused, s.Wanted = bounded(s.Held.Running, e.slots), bounded(s.Unused, e.slots), bounded(s.Wanted, e.slots)
	s.Held.PromptTokens = min(max(s.Held.PromptTokens, 0), maxPromptTokens)
	h.status, h.at, h.foreign = s, now, false
	return h
}

// fail records that an entry could not reach an endpoint, and closes it if others could not either.
func (p *Places) fail(now time.Duration, e *endpoint, id, from string) {
	c := &e.closure
	if c.lasts > 0 {
		if c.tried {
			c.lasts, c.tried = min(2*c.lasts, p.cfg.MaxClosed), false
			c.until = now + c.lasts
		}
		return
	}
	if c.witnesses == nil {
		c.witnesses = map[string]time.Duration{}
	}
	c.witnesses[from] = now
	maps.DeleteFunc(c.witnesses, func(_ string, at time.Duration) bool { return now > at+p.cfg.WitnessTime })
	if len(c.witnesses) < min(p.cfg.Witnesses, len(p.entries)) {
		return
	}
	c.lasts, c.until = p.cfg.MinClosed, now+p.cfg.MinClosed
	for _, h := range e.holders {
		h.answer = h.answer || h.status.Wanted > 0
	}
	p.closures = append(p.closures, Closure{Endpoint: id, Witnesses: slices.Sorted(maps.Keys(c.witnesses)), For: c.lasts})
}

// open records that an entry has reached an endpoint.
func (p *Places) open(e *endpoint, id string) {
	if e.closure.lasts > 0 {
		p.closures = append(p.closures, Closure{Endpoint: id})
	}
	e.closure = closure{}
}

const (
	// maxOverSlots bounds, in slots of the endpoint, what one entry may say that it holds or wants.
	maxOverSlots = 8
	// maxRunning bounds what a home may say that others run at one endpoint.
	maxRunning = 1 << 16
	// maxUnknown bounds the answers to one entry about endpoints that are not known, in one step.
	maxUnknown = 64
	// maxPromptTokens bounds the prompts that one entry may say it has read at one endpoint.
	maxPromptTokens = 1 << 24
)

func bounded(n, slots int) int {
	return min(max(n, 0), maxOverSlots*slots)
}

// SetForeign records what an entry that does not ask for places reports of its runs.
func (p *Places) SetForeign(now time.Duration, from string, loads map[string]Load) {
	for id, e := range p.endpoints {
		load, holds := loads[id]
		h := e.holders[from]
		if !holds {
			if h != nil && h.foreign {
				delete(e.holders, from)
			}
			continue
		}
		if p.homesOf(id)[0] == p.self && (h != nil || len(e.holders) < p.cfg.MaxHolders) {
			load.Running = bounded(load.Running, e.slots)
			e.holders[from] = &holder{status: Status{Held: load}, at: now, foreign: true}
		}
	}
}

// grant gives out the free places of an endpoint, the most valuable ask first and then the one that
// got none for the longest time, and answers the asks that came since the last step. It reports
// whether this entry got some.
func (p *Places) grant(now time.Duration, id string, e *endpoint, answers map[string][]Answer) bool {
	room := e.slots
	if now < p.homeSince[id]+p.cfg.SettleTime && len(p.entries) > 1 {
		room = int(p.cfg.NewHomeShare * float64(e.slots))
	}
	for name, h := range e.holders {
		if name != p.self && now >= h.at+p.cfg.HolderTTL {
			delete(e.holders, name)
			continue
		}
		if h.onTheWay() > 0 && now >= h.lastGranted+p.cfg.ConfirmTime {
			h.granted = h.status.Received // lost
		}
		room -= h.inUse()
	}
	switch c := &e.closure; {
	case c.lasts == 0:
	case now < c.until:
		room = 0
	default:
		room = min(room, 1)
	}
	granted := map[string]int{}
	for ; room > 0; room-- {
		name := p.mostValuable(now, e)
		if name == "" {
			break
		}
		h := e.holders[name]
		h.granted++
		h.status.Wanted--
		h.lastGranted = now
		granted[name]++
		if e.closure.lasts > 0 {
			e.closure.tried, e.closure.until = true, now+e.closure.lasts
		}
	}
	for name, h := range e.holders {
		n := granted[name]
		if name == p.self {
			for range n {
				e.receive(now, p.cfg.GrantTTL)
			}
			h.status.Unused, h.status.Received = len(e.unused), e.received
			continue
		}
		if n > 0 || h.answer {
			a := Answer{Endpoint: id, Born: e.born, Granted: n, Others: e.sum(name)}
			if e.closure.lasts > 0 && n == 0 {
				a.Closed = max(e.closure.until-now, time.Millisecond)
			}
			if h.answer {
				a.Sequence = h.status.Sequence
			}
			answers[name], h.answer = append(answers[name], a), false
		}
	}
	return granted[p.self] > 0
}

func (e *endpoint) receive(now, ttl time.Duration) {
	e.received++
	e.unused = append(e.unused, now+ttl)
}

// mostValuable returns the entry that gets the next place; empty = none wants it.
func (p *Places) mostValuable(now time.Duration, e *endpoint) string {
	best := ""
	for name, h := range e.holders {
		if h.status.Wanted <= 0 || name != p.self && now >= h.at+p.cfg.AskTTL {
			continue
		}
		if best == "" || e.before(name, best) {
			best = name
		}
	}
	return best
}

// before reports whether one entry gets a place before another one.
func (e *endpoint) before(a, b string) bool {
	x, y := e.holders[a], e.holders[b]
	return cmp.Or(cmp.Compare(y.status.Value, x.status.Value), cmp.Compare(x.lastGranted, y.lastGranted), cmp.Compare(a, b)) < 0
}

// ReceiveAnswer adds the places that the home of an endpoint grants.
func (p *Places) ReceiveAnswer(now time.Duration, from string, a Answer) {
	e := p.endpoints[a.Endpoint]
	if e == nil || e.born != a.Born || !slices.Contains(p.homesOf(a.Endpoint), from) {
		return
	}
	if a.Unknown {
		e.asked, e.unanswered, e.unknownTill = false, 0, now+p.cfg.UnknownTime
		return
	}
	e.others = Load{Running: min(max(a.Others.Running, 0), maxRunning), PromptTokens: min(max(a.Others.PromptTokens, 0), maxPromptTokens)}
	e.othersAt, e.othersSaid = now, true
	if _, silent := p.silent[from]; silent {
		delete(p.silent, from)
		p.answering = append(p.answering, from)
	}
	e.closedTill = 0
	if a.Closed > 0 {
		e.closedTill, e.failedOnce = now+min(a.Closed, p.cfg.MaxClosed), true
	}
	if a.Sequence > 0 {
		e.asked, e.unanswered = false, 0
	}
	if now > e.askedAt+p.cfg.AskTTL+p.cfg.AnswerTime {
		return // the process was suspended, and the home has given the place away
	}
	for range min(max(a.Granted, 0), e.slots) {
		e.told.Wanted = max(e.told.Wanted-1, 0)
		e.receive(now, p.cfg.GrantTTL)
	}
}

// EndpointStatus is the state of the places of one endpoint for operators.
type EndpointStatus struct {
	Endpoint string `json:"endpoint"`
	// Home is empty if none answers, so that this entry places without it. First is the one by
	// hashing, where that does not answer.
	Home  string `json:"home"`
	First string `json:"silent_home,omitempty"`
	// Held, Unused and Wanted are this entry's runs, granted places and asks.
	Held   int `json:"held"`
	Unused int `json:"unused,omitempty"`
	Wanted int `json:"wanted,omitempty"`
	// Others is what the other entries hold as far as is known, AgeMS ago.
	Others int   `json:"others,omitempty"`
	AgeMS  int64 `json:"age_ms,omitempty"`
	// Slots, InUse, Holders and Asking are known to the home alone.
	Slots   int `json:"slots,omitempty"`
	InUse   int `json:"in_use,omitempty"`
	Holders int `json:"holders,omitempty"`
	Asking  int `json:"asking,omitempty"`
	// ClosedMS is for how long nothing is given out, since entries could not reach the endpoint.
	ClosedMS int64 `json:"closed_ms,omitempty"`
}

// EndpointStatuses returns the state of all endpoints, sorted by ID.
func (p *Places) EndpointStatuses(now time.Duration) []EndpointStatus {
	var list []EndpointStatus
	for _, id := range p.order {
		e, home := p.endpoints[id], p.Home(now, id)
		s := EndpointStatus{Endpoint: id, Home: home, Held: e.held.Running, Unused: len(e.unused), Wanted: e.wanted}
		if first := p.homesOf(id)[0]; first != home {
			s.First = first
		}
		others, age, _ := p.Others(now, id)
		s.Others, s.AgeMS = others.Running, age.Milliseconds()
		if home == p.self {
			s.Slots, s.InUse, s.Holders = e.slots, e.sum("").Running, len(e.holders)
			for _, h := range e.holders {
				s.Asking += h.status.Wanted
			}
			s.ClosedMS = max(e.closure.until-now, 0).Milliseconds()
		} else {
			s.ClosedMS = max(e.closedTill-now, 0).Milliseconds()
		}
		list = append(list, s)
	}
	return list
}
