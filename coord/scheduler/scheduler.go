package scheduler

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/invariant"
)

// Config holds the settings of a Scheduler.
type Config struct {
	// ReportTTL is how long another entry's report counts.
	ReportTTL time.Duration
	// Overcommit is how many requests an endpoint is sent beyond its slots. Above 0 it
	// covers the way from a free slot to the next request, and binds requests early.
	Overcommit int
	// RefuseMargin is how long before its caller gives up a request is turned away.
	RefuseMargin time.Duration
}

// Defaults of Config.
const (
	DefaultReportTTL    = time.Second
	DefaultRefuseMargin = 250 * time.Millisecond
)

// ServiceInfo is what the configuration says of a service.
type ServiceInfo struct {
	// Slots is how many requests an endpoint runs at once; 0 = its own row tells.
	Slots int
	// Engine tells that its endpoints are model engines.
	Engine bool
	// EventTokens is how many tokens an event of a stream holds; 0 = unknown.
	EventTokens int
}

// Load is what an entry holds at one endpoint.
type Load struct {
	// Running requests, those in the endpoint's queue included.
	Running int
	// PromptTokens of those that have not had their first event.
	PromptTokens int
}

// Report is what one entry tells the others.
type Report struct {
	// Loads by endpoint ID.
	Loads map[string]Load
	// Demand by service: requests in progress and waiting.
	Demand map[string]int
	// TTL is how long the report counts where that is longer than Config.ReportLife.
	TTL time.Duration
}

// Scheduler is the state of one entry. It is used by one goroutine.
type Scheduler struct {
	cfg       Config
	rng       *rand.Rand
	self      string   // name of this entry
	entries   []string // names of all entries, in the order of their hashes
	endpoints map[string]*endpoint
	byService map[string][]*endpoint // in order of their IDs; nil = to be made again
	services  map[string]ServiceInfo
	runs      map[uint64]*run
	queues    map[string][]*Request
	means     map[meanKey]float64
	peers     peers
	biases    map[string]*bias    // by service
	refused   map[meanKey]float64 // share of a kind's recent requests that were turned away
	placed    map[meanKey]*placedShares
	deferred  map[string]*deferral // by service
}

// meanKey groups requests whose sizes are compared.
type meanKey struct{ service, class string }

// meanGain is the weight of a new size in the mean of its like.
const meanGain = 0.03

// New returns a scheduler that knows no endpoint.
func New(cfg Config, rng *rand.Rand) *Scheduler {
	return &Scheduler{
		cfg: cfg, rng: rng,
		endpoints: map[string]*endpoint{}, services: map[string]ServiceInfo{}, runs: map[uint64]*run{},
		queues: map[string][]*Request{}, means: map[meanKey]float64{}, peers: newPeers(), biases: map[string]*bias{}, refused: map[meanKey]float64{}, placed: map[meanKey]*placedShares{}, deferred: map[string]*deferral{},
	}
}

// SetServices takes in the services of a configuration.
func (s *Scheduler) SetServices(services map[string]ServiceInfo) {
	s.services = services
}

// SetEndpoints takes in the usable endpoints. Another incarnation behind a known ID
// is a new endpoint of which nothing is known.
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

// endpointsOf lists the endpoints of a service in order of their IDs.
func (s *Scheduler) endpointsOf(service string) []*endpoint {
	if s.byService == nil {
		s.byService = map[string][]*endpoint{}
		for _, e := range s.endpoints {
			s.byService[e.Service] = append(s.byService[e.Service], e)
		}
		for _, list := range s.byService {
			slices.SortFunc(list, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
			s.settle(list)
		}
	}
	return s.byService[service]
}

// SetPeerReport takes in what another entry holds.
func (s *Scheduler) SetPeerReport(now time.Duration, from string, r Report) {
	s.peers.put(now, from, r)
}

// Report returns what this entry holds.
func (s *Scheduler) Report() Report {
	r := Report{Loads: map[string]Load{}, Demand: map[string]int{}}
	for id, e := range s.endpoints {
		if len(e.runs) > 0 {
			r.Loads[id] = Load{Running: len(e.runs), PromptTokens: e.pending()}
			r.Demand[e.Service] += len(e.runs)
		}
	}
	for service, queue := range s.queues {
		if len(queue) > 0 {
			r.Demand[service] += len(queue)
		}
	}
	return r
}

// Enqueue adds a request to those that wait.
func (s *Scheduler) Enqueue(r Request) {
	_, running := s.runs[r.ID]
	invariant.Check(!running, "scheduler/one-place-a-request", "request %d is queued while it runs", r.ID)
	if r.PromptTokens+r.OutputTokens > 0 {
		key := keyOf(&r)
		if mean, ok := s.means[key]; ok {
			s.means[key] = mean + meanGain*(r.size()-mean)
		} else {
			s.means[key] = r.size()
		}
	}
	s.queues[r.Service] = append(s.queues[r.Service], &r)
}

func keyOf(r *Request) meanKey {
	return meanKey{service: r.Service, class: r.Class}
}

// Cancel removes a request that waits; false if it does not.
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

// FirstEvent takes in that a running request had the first event of its stream.
func (s *Scheduler) FirstEvent(now time.Duration, id uint64) {
	r := s.runs[id]
	if r == nil {
		return
	}
	if !r.first {
		ahead := r.request.PromptTokens
		for _, other := range r.endpoint.runs {
			if other != r && !other.first && other.sent <= r.sent {
				ahead += other.request.PromptTokens
			}
		}
		r.endpoint.observePrompt(ahead, now-r.sent)
		s.observeBias(r, now-r.sent)
	}
	r.first = true
	r.lastByte, r.endpoint.lastByte = now, now
}

// observeBias takes in how long a first event took that was expected after another time.
func (s *Scheduler) observeBias(r *run, actual time.Duration) {
	b := s.biases[r.endpoint.Service]
	if b == nil {
		b = &bias{}
		s.biases[r.endpoint.Service] = b
	}
	// The estimate was multiplied by the ratio of its time.
	b.observe(time.Duration(float64(r.expected)/b.ratio()), actual)
}

// bias is what estimates of a service's first events are multiplied by.
func (s *Scheduler) bias(service string) float64 {
	if b := s.biases[service]; b != nil {
		return b.ratio()
	}
	return 1
}

// Progress takes in that the stream of a running request goes on, and the time
// between events that it shows; 0 where that is not known.
func (s *Scheduler) Progress(now time.Duration, id uint64, gap time.Duration) {
	if r := s.runs[id]; r != nil {
		r.lastByte, r.endpoint.lastByte = now, now
		r.endpoint.observePace(gap)
	}
}

// Outcome is how an attempt ended at its endpoint.
type Outcome int

// Outcomes of an attempt.
const (
	// Answered: whole, whatever it says of the request itself.
	Answered Outcome = iota + 1
	// Failed: the endpoint failed it, or its answer was broken.
	Failed
	// Rejected: the endpoint did not take it in.
	Rejected
	// Unreachable: no connection could be made, or it went silent.
	Unreachable
	// Abandoned: its caller or this entry ended it.
	Abandoned
)

// Done takes in that an attempt has ended.
func (s *Scheduler) Done(now time.Duration, id uint64, outcome Outcome) {
	r := s.runs[id]
	if r == nil {
		return
	}
	delete(s.runs, id)
	e := r.endpoint
	delete(e.runs, id)
	switch outcome {
	case Answered:
		e.reached()
		e.outcome(false)
		if !r.request.Stream {
			e.observeWork(now - r.sent)
		}
	case Failed:
		e.outcome(true)
	case Rejected:
		e.ejected = max(e.ejected, now+rejectPause)
	case Unreachable:
		e.outcome(true)
		e.unreachable(now)
	case Abandoned:
	}
	if !e.listed && len(e.runs) == 0 && s.endpoints[e.ID] == e {
		delete(s.endpoints, e.ID)
		s.byService = nil
	}
}

// rejectPause is how long an endpoint that is full gets nothing new.
const rejectPause = 50 * time.Millisecond

// Waiting counts the requests that wait for a service.
func (s *Scheduler) Waiting(service string) int {
	return len(s.queues[service])
}

// refusedGain is the weight of a new request in the share of a kind that was turned away.
const refusedGain = 0.02

// observeRefusal takes in whether a request was turned away or placed.
func (s *Scheduler) observeRefusal(r *Request, refused bool) {
	key, sample := keyOf(r), 0.0
	if refused {
		sample = 1
	}
	s.refused[key] += refusedGain * (sample - s.refused[key])
	s.placedOf(key).observe(sizeClassOf(r.size(), s.means[key]), !refused)
}

func (s *Scheduler) placedOf(key meanKey) *placedShares {
	p := s.placed[key]
	if p == nil {
		p = newPlacedShares()
		s.placed[key] = p
	}
	return p
}
