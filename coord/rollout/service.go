package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"primrosespoke.dev/coord/membership"
)

// Config holds the operator's bounds.
type Config struct {
	// Self is the name of this entry.
	Self string
	// ExposureShare is the part of all requests between an order and its deadline that a bad
	// version may get, beyond ExposureSlack requests.
	ExposureShare, ExposureSlack float64
}

const (
	// triedShare is the part of the share, and triedSlack that of the slack, that one entry's
	// requests use. The rest covers counts that an entry loses when it ends, and the requests that
	// a version gets that turns bad only when all requests move.
	triedShare, triedSlack = 0.6, 0.7
	// knownShare is the part of the bound that all entries together may have used as far as is
	// known. The rest covers what is under way and isn't reported yet.
	knownShare = 0.8
	// trialSpread is how many times the share of the endpoints get the requests that try a version,
	// so that these run under a load like that of the old ones, and minTrialEndpoints the least
	// number of them. All would be idle where one is not.
	trialSpread       = 2.0
	minTrialEndpoints = 2
	// minObserved is the part of the duration for which a version is tried at least, and
	// minMoveTime that which is left for the move at least. maxMoveTime bounds what long answers
	// of the old version may take of it.
	minObserved, minMoveTime, maxMoveTime = 0.4, 0.3, 0.6
	// moveMargin is the time for reports and writes within the move.
	moveMargin = time.Second
	// lastMove is the time before the deadline, as a part of the duration and at least, at which a
	// version is judged by what is known.
	lastMove, minLastMove = 0.2, 1500 * time.Millisecond
	// completeMargin is the time before the deadline, as a part of the duration and at least, at
	// which a version is completed. Until then all requests show whether it bears the load.
	completeMargin, minCompleteMargin = 0.1, 800 * time.Millisecond
	// earlySlack is the part of the slack that may be used at once. The rest comes with time, so
	// that a version that turns bad is still tried then.
	earlySlack = 0.3
	// startedShare is the number of the target's endpoints, as a part of that of the old ones, from
	// which all requests may move before the last moment.
	startedShare = 0.5
	// lastStreams is the time before the deadline at which streams of the old version that can be
	// resumed are no longer waited for, as a part of the duration.
	lastStreams = 0.06
	// windowStep and windowSteps make up the window in which a version that was good before is
	// judged by itself.
	windowStep  = 500 * time.Millisecond
	windowSteps = 8
	// ageTolerance is how much older another entry may know an order to be than an entry that
	// followed the orders all the time.
	ageTolerance = 2 * time.Second
	// maxRecords bounds the targets and orders that are remembered for a service.
	maxRecords = 8
	// MinDuration and MaxDuration bound the duration of an order.
	MinDuration, MaxDuration = time.Second, 24 * time.Hour
)

// source is one life of another entry.
type source struct{ entry, incarnation string }

// Service is the roll-outs of one service, as one entry knows them. One goroutine uses it.
type Service struct {
	cfg       Config
	name      string
	order     Order   // the newest one; zero = none
	orders    []Order // that were seen, the newest last
	late      bool    // the order was there when this entry began to read
	startedAt time.Duration
	records   map[string]Record // by target
	base      string            // the target that was completed last; empty = none is known
	own       Evidence
	peers     map[source]Evidence
	latest    map[string]peerState // by entry
	paces     map[string]*pace     // by route
	longest   time.Duration        // longest answer of the old version
	listed    map[string]string    // versions of the endpoints that take requests, by ID
	trial     map[string]bool      // endpoints of the target at which it is tried; nil = to be computed
	window    []Evidence           // sums at the last steps, the oldest first
	windowAt  time.Duration
	ownTotal  Pair // sum of own over routes
	peerTotal Pair // sum over peers and routes
	wroteRow  bool // see generationOfStatus
	// informed is set once the store or another entry has said what is known of earlier verdicts.
	// An entry that has just started must not try a version that was rolled back.
	informed, current bool
	progress          float64 // part of the time until the move that has passed, as of the last step
	entries           int     // number of entries, this one included
}

// peerState is what another entry last said.
type peerState struct {
	target           string
	generation       int64
	phase            Phase
	blocking, stream int
}

func newService(cfg Config, name string) *Service {
	s := &Service{cfg: cfg, name: name, records: map[string]Record{}, listed: map[string]string{}}
	s.restart()
	return s
}

// restart forgets what was seen under the order before.
func (s *Service) restart() {
	s.own, s.peers, s.latest, s.paces = Evidence{}, map[source]Evidence{}, map[string]peerState{}, map[string]*pace{}
	s.longest, s.trial, s.window, s.ownTotal, s.peerTotal, s.wroteRow = 0, nil, nil, Pair{}, Pair{}, false
}

// record returns what is known of the present target.
func (s *Service) record() Record {
	return s.records[s.order.Target]
}

// merge takes over a record, and forgets the oldest ones beyond maxRecords.
func (s *Service) merge(r Record) {
	known, ok := s.records[r.Target]
	if ok {
		r = Merge(known, r)
	}
	if ok && r.Generation > known.Generation && r.Target == s.order.Target {
		s.restart()
	}
	s.records[r.Target] = r
	defer func() { s.base = s.findBase() }()
	for len(s.records) > maxRecords {
		oldest := ""
		for target, each := range s.records {
			if target != s.order.Target && (oldest == "" || cmp.Or(each.WrittenAt.Compare(s.records[oldest].WrittenAt), cmp.Compare(target, oldest)) < 0) {
				oldest = target
			}
		}
		delete(s.records, oldest)
	}
}

// Observe takes over an order, from its row or from another entry. startedAt is when it was first
// seen. late is set if it may have been there before.
func (s *Service) Observe(o Order, startedAt time.Duration, late bool) {
	known := slices.IndexFunc(s.orders, o.isRowOf)
	switch {
	case s.order.Target == "":
	case o.ID.Compare(s.order.ID) <= 0:
		return
	case o.Target == s.order.Target:
		// A repeated order changes neither the verdict nor the deadline.
		s.order.ID = o.ID
		s.remember(s.order)
		return
	case known >= 0 && o.ID.Era > s.order.ID.Era && o.ID.Over == 0:
		// The store came back with an earlier order. The later one stays in force.
		s.order.ID = ID{Era: o.ID.Era, Offset: o.ID.Offset, Over: 1}
		return
	}
	r, ok := s.records[o.Target]
	before := s.base
	s.order, s.late, s.startedAt = o, late, startedAt
	s.remember(o)
	s.restart()
	switch {
	case !ok:
		s.merge(Record{Target: o.Target})
	case r.Phase == Completed && before != o.Target:
		// Another version was completed since: this is no repeated order but a way back.
		s.merge(Record{Target: o.Target, Generation: r.Generation + 1})
	}
}

func (s *Service) remember(o Order) {
	s.orders = append(s.orders, o)
	if len(s.orders) > maxRecords {
		s.orders = slices.Delete(s.orders, 0, len(s.orders)-maxRecords)
	}
}

// findBase returns the target that was completed last; empty = none is known.
func (s *Service) findBase() string {
	var last Record
	for _, r := range s.records {
		if r.Phase == Completed && (last.Target == "" || cmp.Or(r.WrittenAt.Compare(last.WrittenAt), cmp.Compare(r.Target, last.Target)) > 0) {
			last = r
		}
	}
	return last.Target
}

// Status takes over a status that the store has.
func (s *Service) Status(target string, phase Phase, at ID) {
	s.wroteRow = s.wroteRow || target == s.order.Target && phase == Running
	if !phase.Decided() {
		return
	}
	reason := "read in the store"
	if known := s.records[target]; known.Phase == phase && known.Reason != "" {
		reason = known.Reason
	}
	s.merge(Record{Target: target, Generation: s.generationOfStatus(target), Phase: phase, Written: true, WrittenAt: at, Reason: reason})
}

// generationOfStatus returns of which order a status in the store is the verdict. A status does not
// say so, and that of the order before stands there until this one's is written.
func (s *Service) generationOfStatus(target string) int64 {
	known := s.records[target]
	if known.Generation > 0 && !known.Written && !s.wroteRow {
		return known.Generation - 1
	}
	return known.Generation
}

// SetListed sets the versions of the endpoints that take requests, by ID.
func (s *Service) SetListed(listed map[string]string) {
	if !maps.Equal(s.listed, listed) {
		s.listed, s.trial = listed, nil
	}
}

// lists reports whether an endpoint of a version takes requests.
func (s *Service) lists(is func(version string) bool) bool {
	for _, version := range s.listed {
		if is(version) {
			return true
		}
	}
	return false
}

// isOld reports whether requests may run at a version that is not the target.
func (s *Service) isOld(version string) bool {
	if version == s.order.Target {
		return false
	}
	if s.base != "" {
		return version == s.base
	}
	_, tried := s.records[version] // it was rolled back, or its order was replaced
	return !tried
}

// isStarted reports whether the target has endpoints for all requests, by their number.
func (s *Service) isStarted() bool {
	count, old := 0, 0
	for _, version := range s.listed {
		switch {
		case version == s.order.Target:
			count++
		case s.isOld(version):
			old++
		}
	}
	return count > 0 && float64(count) >= startedShare*float64(old)
}

// Request says what the placement of a request depends on.
type Request struct {
	Route string
	// Version is set if the request goes on with a stream of that version.
	Version string
	// Repeated is set if it was sent before.
	Repeated bool
}

// Admits reports whether a request may be placed at an endpoint.
func (s *Service) Admits(r Request, endpoint, version string) bool {
	if s.order.Target == "" {
		return s.admitsWithoutOrder(version)
	}
	switch phase := s.record().Phase; {
	case phase == Completed:
		return version == s.order.Target
	case version != s.order.Target:
		old := s.isOld(version)
		return old && (phase != Moving || r.Version == version || !s.lists(s.isTarget))
	case phase == RolledBack:
		return false
	case phase == Moving || r.Version == version:
		return true
	case !s.lists(s.isOld):
		return true // nothing else can serve the request
	}
	return !r.Repeated && s.trialEndpoints()[endpoint] && s.mayTry(r.Route)
}

func (s *Service) isTarget(version string) bool { return version == s.order.Target }

// admitsWithoutOrder decides where no order is known but verdicts are.
func (s *Service) admitsWithoutOrder(version string) bool {
	if s.base != "" {
		return version == s.base
	}
	return s.records[version].Phase != RolledBack
}

// Prefers reports whether a request that Admits admits to a version should go there.
func (s *Service) Prefers(version string) bool {
	return s.order.Target == version && s.record().Phase == Running
}

// Closed reports whether no request at all may be placed at a version.
func (s *Service) Closed(version string) bool {
	if s.order.Target == "" {
		return !s.admitsWithoutOrder(version)
	}
	switch phase := s.record().Phase; {
	case version == s.order.Target:
		return phase == RolledBack
	case phase == Completed:
		return true
	}
	return !s.isOld(version)
}

// trialEndpoints returns the endpoints at which the target is tried, which are the same at all
// entries that know the same endpoints.
func (s *Service) trialEndpoints() map[string]bool {
	if s.trial != nil {
		return s.trial
	}
	var instances []membership.Instance
	for id, version := range s.listed {
		if version == s.order.Target {
			instances = append(instances, membership.Instance{ID: id})
		}
	}
	slices.SortFunc(instances, func(a, b membership.Instance) int { return cmp.Compare(a.ID, b.ID) })
	count := max(minTrialEndpoints, int(math.Ceil(trialSpread*s.cfg.ExposureShare*float64(len(instances)))))
	s.trial = map[string]bool{}
	for _, i := range membership.Rendezvous(s.name+"\x00"+s.order.Target, instances)[:min(count, len(instances))] {
		s.trial[i.ID] = true
	}
	return s.trial
}

// mayTry reports whether this entry may send a further request of a route to the target.
func (s *Service) mayTry(route string) bool {
	own := s.ownTotal
	all := Pair{Old: own.Old.plus(s.peerTotal.Old), New: own.New.plus(s.peerTotal.New)}
	if !s.informed || !s.current || s.entries == 0 {
		return false
	}
	slack := triedSlack * s.cfg.ExposureSlack / float64(s.entries) * (earlySlack + (1-earlySlack)*s.progress)
	if float64(own.New.Sent)+1 > triedShare*s.cfg.ExposureShare*float64(own.Old.Sent+own.New.Sent)+slack {
		return false
	}
	if float64(all.New.Sent)+1 > knownShare*(s.cfg.ExposureShare*float64(all.Old.Sent+all.New.Sent)+s.cfg.ExposureSlack) {
		return false
	}
	// A route with few requests is tried as often in proportion as one with many.
	ofRoute := s.own[route]
	share := float64(own.New.Sent) / float64(max(own.Old.Sent+own.New.Sent, 1))
	return float64(ofRoute.New.Sent) <= share*float64(ofRoute.Old.Sent+ofRoute.New.Sent)+1
}
