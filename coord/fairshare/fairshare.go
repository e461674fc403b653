// Package fairshare decides how client accounts share a service that can't serve all that is asked.
//
// The load that it answers: one account sends 7.5 times its usual amount through one entry or
// through all. Without sharing, its requests take slots in proportion to their number, and the
// other accounts are refused what they had before.
//
// Accounts share max-min by work: no account is cut below a level, and what an account asks beyond
// the level is served after the rest. Work is measured in slot-seconds and decays with Memory, so an
// account that was idle has no credit beyond that time. The capacity is not assumed from the number
// of slots: it is the work that was started of late, by all entries, in the same estimates as the
// work that was asked. So the level is where the accounts' demand, cut at the level, equals it, with a short queue.
//
// There is no leader. Each entry knows its own accounts' work exactly and that of the others from
// their reports, computes the same level from these, and lets an account start the part of the level
// that corresponds to the part of the account's demand that came through this entry. An account that a
// peer does not report counts as asking nothing there, which errs in favour of small accounts.
//
// The package has no I/O, clock or goroutine. Times are offsets on a single clock.
package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// Memory is the time constant with which work is forgotten. It is longer than the time for which
	// a request waits, and short against the 13 s of a wave of demand.
	Memory = 5 * time.Second
	// Queue is how much may wait within the shares, in time of the whole capacity. Without it, any queue
	// would count as too much demand of the largest account, though all of it is answered in time.
	Queue = time.Second
	// Unit is the unit of reported work, in slot-seconds.
	Unit = 0.01
	// MaxReported limits the work of one account, and of one entry, in a report, so that sums can't
	// overflow. It is 5,000 slots kept busy for twice Memory.
	MaxReported = 5_000_000
	// MaxClass is the highest class of Division.Next.
	MaxClass = 8
	// levelInterval is the time between two computations of the level, which sorts all accounts.
	levelInterval = 20 * time.Millisecond
	// forgotten is the work below which an account is dropped, in slot-seconds.
	forgotten = Unit / 2
	// minServedShare is the least share of an account's requests that is started, relative to that of
	// all requests. Below a quarter an account counts as starved; some of the requests that are
	// started fail.
	minServedShare = 0.3
	// servedShareGain is the weight of a new decision in the shares of started requests.
	servedShareGain = 0.02
)

// Work is the recent work of one or several entries at a service, in Units.
type Work struct {
	// Started is the work of the requests that were started, of all accounts.
	Started int64
	// Offered is the work of the requests that arrived, by account.
	Offered map[string]int64
}

// Add adds the work of another entry, or removes it where sign is -1.
func (w *Work) Add(other Work, sign int64) {
	w.Started += sign * other.Started
	if w.Offered == nil && len(other.Offered) > 0 {
		w.Offered = map[string]int64{}
	}
	for account, units := range other.Offered {
		if w.Offered[account] += sign * units; w.Offered[account] == 0 {
			delete(w.Offered, account)
		}
	}
}

// Clamp bounds work that another entry reports, and drops what is no amount and all but the most
// largest accounts.
func (w *Work) Clamp(most int) {
	w.Started = min(max(w.Started, 0), MaxReported)
	for account, units := range w.Offered {
		if units <= 0 {
			delete(w.Offered, account)
			continue
		}
		w.Offered[account] = min(units, MaxReported)
	}
	if len(w.Offered) > most {
		for _, account := range largestFirst(w.Offered)[most:] {
			delete(w.Offered, account)
		}
	}
}

// largestFirst sorts accounts by their work, and those with the same work by name.
func largestFirst(work map[string]int64) []string {
	return slices.SortedFunc(maps.Keys(work), func(a, b string) int {
		return cmp.Or(cmp.Compare(work[b], work[a]), cmp.Compare(a, b))
	})
}

// amount decays with Memory.
type amount struct {
	value float64 // slot-seconds
	at    time.Duration
}

func (a *amount) current(now time.Duration) float64 {
	if now > a.at {
		a.value *= math.Exp(-(now - a.at).Seconds() / Memory.Seconds())
		a.at = now
	}
	return a.value
}

func (a *amount) add(now time.Duration, work float64) {
	a.value = max(a.current(now)+work, 0)
}

// account is the recent work of one account through this entry.
type account struct {
	offered, started amount
	servedShare      float64 // moving average of the share of requests that were started
}

// Ledger holds the recent work of the accounts at one service. It must be used by one goroutine only.
type Ledger struct {
	accounts    map[string]*account
	started     amount // of all accounts
	servedShare float64

	level   float64 // slot-seconds; see computeLevel
	levelAt time.Duration
	leveled bool
}

// New returns a ledger without work.
func New() *Ledger {
	return &Ledger{accounts: map[string]*account{}, servedShare: 1}
}

func (l *Ledger) account(name string) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{servedShare: 1}
		l.accounts[name] = a
	}
	return a
}

// Offer records a request that arrived, with its work in slot-seconds.
func (l *Ledger) Offer(now time.Duration, name string, work float64) {
	l.account(name).offered.add(now, work)
}

// Start records a request that was started.
func (l *Ledger) Start(now time.Duration, name string, work float64) {
	l.account(name).started.add(now, work)
	l.started.add(now, work)
}

// Withdraw takes back a request that was offered at a time and refused. Its caller may send it again;
// if refused requests counted, an account that is refused would seem to ask for ever more.
func (l *Ledger) Withdraw(now, offeredAt time.Duration, name string, work float64) {
	l.account(name).offered.add(now, -work*math.Exp(-max(now-offeredAt, 0).Seconds()/Memory.Seconds()))
}

// Refund takes back a request that was started and did not run. It is offered anew if it is sent again.
func (l *Ledger) Refund(now time.Duration, name string, work float64) {
	a := l.account(name)
	a.offered.add(now, -work)
	a.started.add(now, -work)
	l.started.add(now, -work)
}

// Decided records whether a request was started or refused.
func (l *Ledger) Decided(name string, started bool) {
	sample := 0.0
	if started {
		sample = 1
	}
	a := l.account(name)
	a.servedShare += servedShareGain * (sample - a.servedShare)
	l.servedShare += servedShareGain * (sample - l.servedShare)
}

// Report returns the recent work of the accounts with the most, for the other entries.
func (l *Ledger) Report(now time.Duration, most int) Work {
	w := Work{Started: units(l.started.current(now)), Offered: make(map[string]int64, len(l.accounts))}
	for name, a := range l.accounts {
		w.Offered[name] = units(a.offered.current(now))
	}
	w.Clamp(most)
	return w
}

func units(work float64) int64 {
	return int64(math.Round(work / Unit))
}

// computeLevel returns the work, in slot-seconds, up to which each account is served: the accounts'
// demand, cut at the level, equals the work that was started and Queue of it in addition. It is
// infinite while no more than that was asked.
func (l *Ledger) computeLevel(now time.Duration, peers Work) float64 {
	offered := make([]float64, 0, len(l.accounts)+len(peers.Offered))
	sum := 0.0
	for name, a := range l.accounts {
		own := a.offered.current(now)
		if own < forgotten && a.started.current(now) < forgotten {
			delete(l.accounts, name)
			continue
		}
		offered = append(offered, own+float64(peers.Offered[name])*Unit)
	}
	for name, n := range peers.Offered {
		if l.accounts[name] == nil {
			offered = append(offered, float64(n)*Unit)
		}
	}
	slices.Sort(offered) // the sums must not depend on the order of a map
	for _, work := range offered {
		sum += work
	}
	left := (l.started.current(now) + float64(peers.Started)*Unit) * (1 + Queue.Seconds()/Memory.Seconds())
	if sum <= left || len(offered) == 1 { // one account has nobody to share with
		return math.Inf(1)
	}
	for i, work := range offered {
		even := left / float64(len(offered)-i)
		if work > even {
			return even
		}
		left -= work
	}
	return math.Inf(1)
}

// Division is how the accounts share a service at one time.
type Division struct {
	// Level is the work, in slot-seconds over Memory, up to which each account is served by all
	// entries together; infinite = all that is asked is served.
	Level float64

	ledger *Ledger
	peers  Work
	now    time.Duration
	left   map[string]*allotment // of accounts that ask for more than the level
}

// allotment is what an account may use through this entry, and what it has used.
type allotment struct{ limit, used float64 }

// Divide computes how the accounts share the service now. peers is the sum of the other entries'
// reports.
func (l *Ledger) Divide(now time.Duration, peers Work) Division {
	if !l.leveled || now >= l.levelAt+levelInterval {
		l.level, l.levelAt, l.leveled = l.computeLevel(now, peers), now, true
	}
	return Division{Level: l.level, ledger: l, peers: peers, now: now, left: map[string]*allotment{}}
}

// Next returns the class of the next waiting request of an account, whose requests are passed in the
// order in which they would be started. Requests of a lower class go first. Class 0 is within the
// account's share. The classes above double: class 1 goes up to twice the share, class 2 up to four
// times. The request counts by what the account has before it, so that a request with more work than
// the whole share is served in its turn as well.
func (d *Division) Next(name string, work float64) int {
	a := d.allotment(name)
	before := a.used
	a.used += work
	if before < a.limit {
		return 0
	}
	if a.limit <= 0 {
		return MaxClass
	}
	return min(1+int(math.Log2(before/a.limit)), MaxClass)
}

// Limited reports whether an account asks for more than its share.
func (d *Division) Limited(name string) bool {
	return !math.IsInf(d.allotment(name).limit, 1)
}

func (d *Division) allotment(name string) *allotment {
	a := d.left[name]
	if a == nil {
		a = d.newAllotment(name)
		d.left[name] = a
	}
	return a
}

func (d *Division) newAllotment(name string) *allotment {
	a := d.ledger.accounts[name]
	if a == nil || a.servedShare < minServedShare*d.ledger.servedShare {
		return &allotment{limit: math.Inf(1)}
	}
	own := a.offered.current(d.now)
	all := own + float64(d.peers.Offered[name])*Unit
	if all <= d.Level {
		return &allotment{limit: math.Inf(1)}
	}
	return &allotment{limit: d.Level * own / all, used: a.started.current(d.now)}
}

// Within returns the recent demand within the shares through this entry, and through all entries, in
// slot-seconds.
func (d *Division) Within() (own, all float64) {
	for _, name := range slices.Sorted(maps.Keys(d.ledger.accounts)) {
		work := d.ledger.accounts[name].offered.current(d.now)
		sum := work + float64(d.peers.Offered[name])*Unit
		if sum > 0 {
			own += work * min(d.Level/sum, 1)
		}
		all += min(sum, d.Level)
	}
	for _, name := range slices.Sorted(maps.Keys(d.peers.Offered)) {
		if d.ledger.accounts[name] == nil {
			all += min(float64(d.peers.Offered[name])*Unit, d.Level)
		}
	}
	return own, all
}

// Status is the state of one account, for operators.
type Status struct {
	Account string
	// Offered and Started are the recent work through this entry, PeersOffered that through the
	// others, in slot-seconds.
	Offered, Started, PeersOffered float64
	// ServedShare is the share of its recent requests at this entry that were started.
	ServedShare float64
}

// Statuses returns the state of the accounts with the most offered work, the largest first.
func (l *Ledger) Statuses(now time.Duration, peers Work, most int) []Status {
	sums := maps.Clone(peers.Offered)
	if sums == nil {
		sums = map[string]int64{}
	}
	for name, a := range l.accounts {
		sums[name] += units(a.offered.current(now))
	}
	names := largestFirst(sums)
	list := make([]Status, 0, min(len(names), most))
	for _, name := range names[:min(len(names), most)] {
		list = append(list, l.Status(now, name, peers))
	}
	return list
}

// Status returns the state of one account.
func (l *Ledger) Status(now time.Duration, name string, peers Work) Status {
	status := Status{Account: name, PeersOffered: float64(peers.Offered[name]) * Unit, ServedShare: 1}
	if a := l.accounts[name]; a != nil {
		status.Offered, status.Started, status.ServedShare = a.offered.current(now), a.started.current(now), a.servedShare
	}
	return status
}
