package scheduler

import (
	"slices"
	"time"
)

const (
	// silentStream is how long a stream that may go on elsewhere is let be silent,
	// at least, before its endpoint is taken to be gone.
	silentStream = 900 * time.Millisecond
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
	prompt := time.Duration(float64(e.pending()) / promptPerEvent * float64(pace))
	return max(silentStream, silentFactor*pace+2*prompt)
}
