package scheduler

import (
	"slices"
	"time"
)

const (
	// silentStream is how long a stream that may go on elsewhere is let be silent,
	// at least, before its endpoint is taken to be gone, and silentShare is the part of
	// the time that its caller waits for an event. An event after a longer pause is late
	// already, so a quicker cut gains nothing and may end a run that was about to start.
	silentStream = 900 * time.Millisecond
	silentShare  = 0.45
	// silentPlain is the part of the time that a plain request has in which its endpoint may be silent.
	silentPlain = 0.4
	// silentFactor multiplies the expected time where that is longer.
	silentFactor = 8
)

// silent lists repeatable runs whose endpoint has sent nothing, to any run, for too
// long, and for which there is another endpoint.
func (s *Scheduler) silent(now time.Duration) []uint64 {
	var cuts []uint64
	for id, r := range s.runs {
		if now >= r.request.Deadline-2*s.cfg.RefuseMargin {
			continue // no time is left to go elsewhere
		}
		if r.request.Repeatable && now > max(r.lastByte, r.endpoint.lastByte)+s.patience(r) && s.elsewhere(now, r) {
			cuts = append(cuts, id)
		}
	}
	slices.Sort(cuts)
	return cuts
}

// elsewhere tells whether another endpoint may take the request of a run.
func (s *Scheduler) elsewhere(now time.Duration, r *run) bool {
	for _, e := range s.endpointsOf(r.request.Service) {
		if e != r.endpoint && e.usable(now) && !r.request.Avoid[e.ID] {
			return true
		}
	}
	return false
}

func (s *Scheduler) patience(r *run) time.Duration {
	e := r.endpoint
	if !r.request.Stream {
		whole := time.Duration(silentPlain * float64(r.request.Deadline-r.sent))
		return max(whole, silentFactor*max(e.work, defaultWork))
	}
	pace := max(e.pace, defaultEventTime)
	pending := e.pending() + s.peers.loads[e.ID].PromptTokens
	prompts := time.Duration(float64(pending) / promptPerEvent * float64(pace))
	share := time.Duration(silentShare * float64(r.request.EventTimeout))
	return max(silentStream, share, silentFactor*pace+2*prompts)
}
