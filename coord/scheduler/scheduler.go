package scheduler

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/fairshare"
	"primrosespoke.dev/coord/invariant"
	"primrosespoke.dev/coord/memory"
	"primrosespoke.dev/coord/places"
)

// Config holds the settings of a Scheduler.
type Config struct {
	// ReportTTL is how long a report of another entry is used.
	ReportTTL time.Duration
	// Overcommit is how many requests an endpoint is sent beyond its slots. Above 0 it
	// hides the delay between a slot becoming free and the next request arriving there,
	// but assigns requests to endpoints earlier.
	Overcommit int
	// RefuseMargin is how long before its caller stops waiting a request is refused, so that the
	// refusal reaches it: the way, and the time for which a process may be held up that has used up
	// its share of a core.
	RefuseMargin time.Duration
	// StatedLoad: endpoints' statements about their load and pace are used.
	StatedLoad Mode
	// EngineMemory: no request is sent to an engine whose memory it may not fit into.
	EngineMemory Mode
	// AccountSharing: client accounts of equal rank share scarce slots.
	AccountSharing Mode
	// DomainPreference: endpoints of the entry's own failure domain are preferred.
	DomainPreference Mode
	// FailureDomain is that of this entry.
	FailureDomain string
}

// Defaults of Config.
const (
	DefaultReportTTL    = time.Second
	DefaultRefuseMargin = 100 * time.Millisecond
)

// ServiceInfo is the configuration of a service.
type ServiceInfo struct {
	// Slots is how many requests an endpoint runs at once, where its own row does not say; 0 counts as 1.
	Slots int
	// Engine tells that the endpoints of the service are model engines.
	Engine bool
	// EventTokens is how many tokens an event of a stream carries; 0 = unknown.
	EventTokens int
	// MemoryTokens is the memory of an engine, in tokens; 0 = unknown.
	MemoryTokens int
}

// Load is what one entry runs at one endpoint.
type Load struct {
	// Running counts the requests sent there, including those in the endpoint's own queue.
	Running int
	// PromptTokens are the prompt tokens of requests without a first event.
	PromptTokens int
	// MemoryTokens is what these requests need of the endpoint's memory; 0 = unknown. ReservedTokens is
	// what is to stay free for a request that waits.
	MemoryTokens, ReservedTokens int
}

// Report is what an entry tells the others about its load.
type Report struct {
	// Loads holds the load by endpoint ID.
	Loads map[string]Load
	// Demand counts running and waiting requests by service.
	Demand map[string]int
	// Arrivals holds the recent requests per second by plain service.
	Arrivals map[string]float64
	// Work holds the recent work of client accounts by service, see Scheduler.Work; nil = not stated, so
	// that of the report before stays.
	Work map[string]fairshare.Work
	// Excess counts the waiting requests beyond their accounts' shares by service; they are part of Demand.
	Excess map[string]int
	// TTL is how long the report is used where that is longer than Config.ReportTTL.
	TTL time.Duration
}

// Scheduler holds the state of one entry. It must be used by one goroutine only.
type Scheduler struct {
	cfg              Config
	rng              *rand.Rand
	self             string   // name of this entry
	entries          []string // names of all entries, sorted by hash
	endpoints        map[string]*endpoint
	byService        map[string][]*endpoint // sorted by ID; nil = to be rebuilt
	parts            map[string]endpointParts
	services         map[string]ServiceInfo
	runs             map[uint64]*run       // by request ID
	queues           map[string][]*Request // waiting requests by service
	peers            peers
	biases           map[string]*bias        // by service
	started          map[string]int          // placements, by service
	placedShares     map[rank]float64        // share of recent decisions that were placements, by rank
	placedShareOfAll map[string]float64      // the same of all ranks, by service
	refusedWork      map[string]*refusedWork // by service
	gate             Gate
	versions         Versions                     // nil = requests may be placed at any
	sharings         map[string]*sharing          // by service whose slots accounts share
	restricted       map[string]*restrictedDemand // by service with restricted endpoints
	needs            map[string]*memory.Needs     // of engines' memory, by service
	longestReportAge longestAge
	pacers           map[string]*pacer // by plain service
	places           *places.Places    // of model engines; nil = none
	wants            map[string]want   // places to ask for, by endpoint
	withheldSince    time.Duration     // when Withhold was first called since the last Plan, if withheld
	withheld         bool
	domainOf         map[string]string            // failure domains of the other entries
	preferred        map[string]bool              // by service whose endpoints are marked by domain
	spills           map[string]*domainPreference // by service
	spillChanges     []SpillChange                // since SpillChanges was last called
}

// New returns a scheduler without endpoints.
func New(cfg Config, rng *rand.Rand) *Scheduler {
	return &Scheduler{
		cfg: cfg, rng: rng,
		endpoints: map[string]*endpoint{}, services: map[string]ServiceInfo{}, runs: map[uint64]*run{},
		queues: map[string][]*Request{}, peers: newPeers(), biases: map[string]*bias{}, started: map[string]int{}, placedShares: map[rank]float64{}, placedShareOfAll: map[string]float64{}, refusedWork: map[string]*refusedWork{},
		pacers: map[string]*pacer{}, needs: map[string]*memory.Needs{}, wants: map[string]want{}, parts: map[string]endpointParts{},
		sharings: map[string]*sharing{}, gate: openGate{}, restricted: map[string]*restrictedDemand{},
		preferred: map[string]bool{}, spills: map[string]*domainPreference{},
	}
}

// SetServices replaces the configuration of all services.
func (s *Scheduler) SetServices(services map[string]ServiceInfo) {
	s.services = services
}

// SetEndpoints replaces the list of usable endpoints. A new incarnation with a known ID
// starts as an endpoint without history.
func (s *Scheduler) SetEndpoints(rows []directory.Endpoint) {
	s.byService = nil
	listed := map[string]bool{}
	for _, row := range rows {
		listed[row.ID] = true
		known := s.endpoints[row.ID]
		if known == nil || known.Born != row.Born || known.Service != row.Service {
			s.endpoints[row.ID] = newEndpoint(row)
			continue
		}
		known.Endpoint, known.listed = row, true
	}
	for id, e := range s.endpoints {
		if !listed[id] {
			e.listed = false
			if len(e.runs) == 0 {
				delete(s.endpoints, id)
			}
		}
	}
}

// endpointsOf lists the endpoints of a service, sorted by ID.
func (s *Scheduler) endpointsOf(service string) []*endpoint {
	if s.byService == nil {
		s.byService = map[string][]*endpoint{}
		for _, e := range s.endpoints {
			s.byService[e.Service] = append(s.byService[e.Service], e)
		}
		for name, list := range s.byService {
			slices.SortFunc(list, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
			if s.preferred[name] = s.prefersDomain(name, list); s.preferred[name] {
				s.assignToDomain(name, list)
				continue
			}
			s.assignToGroups(name, list)
		}
	}
	return s.byService[service]
}

// SetPeerReport replaces the report of another entry.
func (s *Scheduler) SetPeerReport(now time.Duration, from string, r Report) {
	s.peers.set(now, from, r)
}

// Report returns the load of this entry.
func (s *Scheduler) Report(now time.Duration) Report {
	r := Report{Loads: map[string]Load{}, Demand: map[string]int{}, Arrivals: map[string]float64{}}
	for service, p := range s.pacers {
		if rate := p.rate(now); rate >= minReportedRate {
			r.Arrivals[service] = float64(float32(rate))
		}
	}
	for id, e := range s.endpoints {
		if len(e.runs) > 0 {
			r.Loads[id] = Load{Running: len(e.runs), PromptTokens: e.pendingPromptTokens()}
			r.Demand[e.Service] += len(e.runs)
		}
	}
	s.reportMemory(&r)
	for service, queue := range s.queues {
		if len(queue) > 0 {
			r.Demand[service] += len(queue)
		}
	}
	r.Excess = s.excessDemand()
	return r
}

// minReportedRate is the least number of requests per second that is reported.
const minReportedRate = 0.01

// Enqueue adds a request to the queue of its service.
func (s *Scheduler) Enqueue(r Request) {
	_, running := s.runs[r.ID]
	invariant.Check(!running, "scheduler/one-place-a-request", "request %d is queued while it runs", r.ID)
	if !s.services[r.Service].Engine {
		s.pacerOf(r.Service).arrive(r.Arrived)
	}
	r.versions = s.versions
	if s.services[r.Service].MemoryTokens > 0 {
		s.needsOf(r.Service).Observe(r.need())
	}
	s.queues[r.Service] = append(s.queues[r.Service], &r)
}

// Cancel removes a waiting request; false if it is not waiting.
func (s *Scheduler) Cancel(id uint64) bool {
	for service, queue := range s.queues {
		for i, r := range queue {
			if r.ID == id {
				s.queues[service] = slices.Delete(queue, i, i+1)
				return true
			}
		}
	}
	return false
}

// FirstEvent records that a running request received the first event of its stream.
func (s *Scheduler) FirstEvent(now time.Duration, id uint64) {
	r := s.runs[id]
	if r == nil {
		return
	}
	if !r.firstEventSeen {
		s.reached(r.endpoint, true)
		ahead := r.request.PromptTokens
		for _, other := range r.endpoint.runs {
			if other != r && !other.firstEventSeen && other.sentAt <= r.sentAt {
				ahead += other.request.PromptTokens
			}
		}
		r.endpoint.observePromptTime(ahead, now-r.sentAt, s.slowdown(now, r.endpoint))
		s.observeBias(r, now-r.sentAt)
	}
	r.firstEventSeen = true
	r.lastByteAt, r.endpoint.lastByteAt = now, now
}

// observeBias compares the actual time to a first event with the expected one.
func (s *Scheduler) observeBias(r *run, actual time.Duration) {
	b := s.biases[r.endpoint.Service]
	if b == nil {
		b = &bias{}
		s.biases[r.endpoint.Service] = b
	}
	// The expected time includes the ratio at the time of the estimate, so divide by the ratio.
	b.observe(time.Duration(float64(r.expectedFirstEvent)/b.ratio()), actual)
}

// bias returns the correction factor for expected times to first events of a service.
func (s *Scheduler) bias(service string) float64 {
	if b := s.biases[service]; b != nil {
		return b.ratio()
	}
	return 1
}

// Progress records that a running request received further events, and the time
// between events that they show; 0 where that is unknown.
func (s *Scheduler) Progress(now time.Duration, id uint64, gap time.Duration) {
	if r := s.runs[id]; r != nil {
		r.lastByteAt, r.endpoint.lastByteAt = now, now
		r.endpoint.observeEventInterval(now, gap)
	}
}

// Outcome says how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	// Answered: the answer was received in full, whatever its status.
	Answered Outcome = iota + 1
	// Failed: the endpoint failed the request, or its answer was broken.
	Failed
	// Rejected: the endpoint did not accept the request.
	Rejected
	// Unreachable: no connection could be made, or the endpoint stopped responding.
	Unreachable
	// Abandoned: the caller or this entry ended the attempt.
	Abandoned
)

// Done records that an attempt has ended.
func (s *Scheduler) Done(now time.Duration, id uint64, outcome Outcome) {
	r := s.runs[id]
	if r == nil {
		return
	}
	delete(s.runs, id)
	e := r.endpoint
	delete(e.runs, id)
	if p := s.pacers[e.Service]; p != nil {
		p.advance(now, max(e.serviceTime, defaultServiceTime).Seconds())
		p.running = max(p.running-1, 0)
	}
	switch outcome {
	case Answered:
		s.reached(e, true)
		e.clearEjection()
		e.observeOutcome(false)
		if !r.request.Stream {
			e.observeServiceTime(now, now-r.sentAt)
		}
	case Failed:
		e.observeOutcome(true)
	case Rejected:
		s.reached(e, true)
		if state := s.sharings[e.Service]; state != nil {
			state.ledger.Refund(now, r.request.Account, r.request.prospect.work)
		}
		e.ejectedUntil = max(e.ejectedUntil, now+rejectEjection)
	case Unreachable:
		s.reached(e, false)
		e.observeOutcome(true)
		e.eject(now)
	case Abandoned:
	}
	if !e.listed && len(e.runs) == 0 && s.endpoints[e.ID] == e {
		delete(s.endpoints, e.ID)
		s.byService = nil
	}
}

// rejectEjection is how long an endpoint that rejected a request gets no new ones.
const rejectEjection = 50 * time.Millisecond

// Waiting counts the waiting requests of a service.
func (s *Scheduler) Waiting(service string) int {
	return len(s.queues[service])
}
