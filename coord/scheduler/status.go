package scheduler

import (
	"sort"
	"time"
)

// EndpointStatus is the state of one endpoint in a state dump.
type EndpointStatus struct {
	Endpoint     string  `json:"endpoint"`
	Service      string  `json:"service"`
	Running      int     `json:"running"`
	PeersRunning int     `json:"peers_hold"`
	EventMS      float64 `json:"event_ms"`
	WorkMS       float64 `json:"work_ms"`
	FailureRate  float64 `json:"failure_rate"`
	EjectedMS    int64   `json:"ejected_ms,omitempty"`
	// Stated is the endpoint's last statement of its load and StatedAgeMS its age, where such
	// statements are used.
	Stated      *Statement `json:"stated,omitempty"`
	StatedAgeMS int64      `json:"stated_age_ms,omitempty"`
	// Believed is how many requests the endpoint is believed to hold, and Slowdown by how much work there
	// takes longer than the learned times above say.
	Believed int     `json:"believed,omitempty"`
	Slowdown float64 `json:"slowdown,omitempty"`
	// MemoryTokens is the endpoint's memory, MemoryHeld what this entry's requests there need and
	// PeersMemory what others report, and MemoryReserved what is kept free for requests that wait.
	MemoryTokens   int `json:"memory_tokens,omitempty"`
	MemoryHeld     int `json:"memory_held,omitempty"`
	PeersMemory    int `json:"peers_memory,omitempty"`
	MemoryReserved int `json:"memory_reserved,omitempty"`
}

// Status returns the state of all endpoints, sorted by ID.
func (s *Scheduler) Status(now time.Duration) []EndpointStatus {
	list := make([]EndpointStatus, 0, len(s.endpoints))
	for id, e := range s.endpoints {
		status := EndpointStatus{
			Endpoint: id, Service: e.Service, Running: len(e.runs), PeersRunning: s.peers.loads[id].Running,
			EventMS: milliseconds(e.eventInterval), WorkMS: milliseconds(e.serviceTime), FailureRate: e.failureRate,
			EjectedMS: max(e.ejectedUntil-now, 0).Milliseconds(),
		}
		if stated, at, known := e.stated.Last(); known && s.enabled(s.cfg.StatedLoad, e.Service) {
			status.Stated, status.StatedAgeMS = &stated, (now - at).Milliseconds()
			status.Believed, status.Slowdown = s.believedRunning(now, e), e.stated.Factor(now)
		}
		if s.memoryMatters(e.Service) {
			s.addMemory(&status, e)
		}
		list = append(list, status)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Endpoint < list[j].Endpoint })
	return list
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// UsableEndpoints returns the IDs of the endpoints of a service that may get requests now, and
// how many there are with those that may not.
func (s *Scheduler) UsableEndpoints(now time.Duration, service string) (usable []string, listed int) {
	for _, e := range s.endpointsOf(service) {
		if e.usable(now) {
			usable = append(usable, e.ID)
		}
		if e.listed {
			listed++
		}
	}
	return usable, listed
}

// QueueLengths counts the waiting requests by service.
func (s *Scheduler) QueueLengths() map[string]int {
	counts := map[string]int{}
	for service, queue := range s.queues {
		if len(queue) > 0 {
			counts[service] = len(queue)
		}
	}
	return counts
}
