package scheduler

// Versions restricts at which software versions requests are placed; see package rollout for the
// load that it answers.
type Versions interface {
	// Admits reports whether a request may be placed at an endpoint.
	Admits(r *Request, endpoint, version string) bool
	// Prefers reports whether a request that is admitted to a version should go there if it can
	// start there now.
	Prefers(service, version string) bool
	// Closed reports whether no request of a service at all may be placed at a version.
	Closed(service, version string) bool
	// Placed records a placement.
	Placed(r *Request, p Placement)
}

// SetVersions sets what restricts the versions that requests are placed at; nil = nothing does. It
// is asked for the requests that are queued from then on.
func (s *Scheduler) SetVersions(v Versions) {
	s.versions = v
}

// isClosed reports whether an endpoint's version gets no requests, so that its slots don't count.
func (s *Scheduler) isClosed(e *endpoint) bool {
	return s.versions != nil && s.versions.Closed(e.Service, e.Version)
}

// preferVersion returns the candidates of the preferred version if the request can start at one of
// them now, or else all.
func (s *Scheduler) preferVersion(r *Request, all []*candidate) []*candidate {
	if r.versions == nil {
		return all
	}
	var preferred []*candidate
	for _, c := range all {
		if c.open && c.freeSlots(s.cfg.Overcommit) > 0 && r.versions.Prefers(r.Service, c.endpoint.Version) {
			preferred = append(preferred, c)
		}
	}
	if len(preferred) > 0 {
		return preferred
	}
	return all
}
