package front

import (
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/places"
	"primrosespoke.dev/coord/quarantine"
	"primrosespoke.dev/coord/scheduler"
	"primrosespoke.dev/coord/sendlimit"
	"primrosespoke.dev/daemon/intake"
	"primrosespoke.dev/daemon/peer/operator"
)

// readiness serves the readiness check, by which the load balancer decides whether this
// front gets new connections.
func (f *Front) readiness() http.Handler {
	e := echo.New()
	e.GET(f.config.ReadinessPath, func(c echo.Context) error {
		if reason := f.notReady(); reason != "" {
			return c.String(http.StatusServiceUnavailable, reason)
		}
		return c.String(http.StatusOK, "ready")
	})
	return e
}

// notReady returns the reason why this front should get no new connections; empty = it is
// ready.
func (f *Front) notReady() string {
	state := f.configuration.Load()
	switch {
	case f.draining.Load():
		return "stopping"
	case state.table == nil:
		return reasonNoConfiguration
	case f.configurationOutOfDate(state) && !state.usedWhenOld():
		return reasonConfigurationOld
	case !f.keysTrusted(state):
		return "configuration not known to be the newest"
	case f.listOutOfDate():
		return reasonListOld
	}
	return ""
}

// operatorHandler serves the metrics page and the state dump.
func (f *Front) operatorHandler() http.Handler {
	e := echo.New()
	if f.config.Metrics != nil {
		e.GET(operator.PathMetrics, echo.WrapHandler(f.config.Metrics))
	}
	e.GET(operator.PathDump, func(c echo.Context) error {
		d := f.Dump()
		if d == nil {
			return c.String(http.StatusServiceUnavailable, "stopping")
		}
		return c.JSONPretty(http.StatusOK, d, "  ")
	})
	e.POST(operator.PathReleasePart, f.releasePart)
	e.POST(operator.PathReleaseRequest, f.releaseRequest)
	e.POST(operator.PathReleaseLimit, f.releaseLimit)
	return e
}

// Dump returns the state of the front, or nil once its control goroutine has ended.
func (f *Front) Dump() *Dump {
	reply := make(chan Dump, 1)
	f.send(dumpMessage{reply: reply})
	select {
	case d := <-reply:
		return &d
	case <-f.stopped:
		return nil
	}
}

// releasePart lets go of the part of prompts that the parameter part names.
func (f *Front) releasePart(c echo.Context) error {
	return f.release(c, "part", func(id string, reply chan<- bool) message {
		return releaseSubjectMessage{subject: quarantine.Subject{Kind: quarantine.Part, ID: partID(id)}, reply: reply}
	})
}

// releaseRequest lets go of the request whose content ID the parameter content names.
func (f *Front) releaseRequest(c echo.Context) error {
	return f.release(c, "content", func(id string, reply chan<- bool) message {
		return releaseSubjectMessage{subject: quarantine.Subject{Kind: quarantine.Request, ID: partID(id)}, reply: reply}
	})
}

// releaseLimit lets go of the limit of the endpoint that the parameter endpoint names.
func (f *Front) releaseLimit(c echo.Context) error {
	return f.release(c, "endpoint", func(id string, reply chan<- bool) message {
		return releaseLimitMessage{endpoint: id, reply: reply}
	})
}

// release has the control goroutine let go of what a parameter of the request names.
func (f *Front) release(c echo.Context, parameter string, newMessage func(id string, reply chan<- bool) message) error {
	id := c.QueryParam(parameter)
	if id == "" {
		return c.String(http.StatusBadRequest, "parameter "+parameter+" is missing")
	}
	reply := make(chan bool, 1)
	f.send(newMessage(id, reply))
	select {
	case released := <-reply:
		f.log.Warn().Str(parameter, id).Bool("known", released).Msg(parameter + "_released_by_operator")
		if !released {
			return c.String(http.StatusNotFound, "nothing to release for this "+parameter)
		}
		return c.String(http.StatusOK, parameter+" released")
	case <-f.stopped:
		return c.String(http.StatusServiceUnavailable, "stopping")
	}
}

// Dump is the state of a front as served to operators.
type Dump struct {
	ID                 string                             `json:"id"`
	Incarnation        string                             `json:"incarnation"`
	NotReady           string                             `json:"not_ready,omitempty"`
	Version            int64                              `json:"configuration_version"`
	ConfigurationAgeMS int64                              `json:"configuration_age_ms"`
	Members            map[string]memberDump              `json:"members"`
	Endpoints          []directory.Endpoint               `json:"endpoints"`
	Loads              []scheduler.EndpointStatus         `json:"loads"`
	Waiting            map[string]int                     `json:"waiting"`
	Spill              []scheduler.SpillStatus            `json:"domain_spill,omitempty"`    // what leaves the failure domain
	Sharing            map[string]scheduler.SharingStatus `json:"account_sharing,omitempty"` // how client accounts share the services where they do, by service
	CapLevels          map[string]float64                 `json:"cap_levels"`
	Limits             []limitDump                        `json:"endpoint_limits,omitempty"`
	Places             []places.EndpointStatus            `json:"places,omitempty"`             // of model engines
	ConvictedParts     map[string]int                     `json:"convicted_parts,omitempty"`    // trials by part
	ConvictedRequests  map[string]int                     `json:"convicted_requests,omitempty"` // trials by content
	Rollouts           []rolloutDump                      `json:"rollouts,omitempty"`
	RestrictedRequests []string                           `json:"restricted_requests,omitempty"` // by content
	Listeners          []intake.Status                    `json:"listeners,omitempty"`           // what clients take of each
}

// addHeld adds the subjects that are held back.
func (d *Dump) addHeld(held map[quarantine.Subject]quarantine.Holding) {
	d.ConvictedParts, d.ConvictedRequests = map[string]int{}, map[string]int{}
	for s, h := range held {
		switch {
		case s.Kind == quarantine.Part:
			d.ConvictedParts[subjectID(s)] = h.Trials
		case h.Convicted:
			d.ConvictedRequests[subjectID(s)] = h.Trials
		default:
			d.RestrictedRequests = append(d.RestrictedRequests, subjectID(s))
		}
	}
	slices.Sort(d.RestrictedRequests)
}

// limitDump is the limit that an endpoint names. Level and Asking are known to its home alone.
type limitDump struct {
	Endpoint   string   `json:"endpoint"`
	PerSecond  float64  `json:"requests_per_second"`
	NamedAgoMS int64    `json:"named_ago_ms"`
	Home       string   `json:"home"`
	Settled    bool     `json:"home_settled,omitempty"`
	Level      float64  `json:"permits_left,omitempty"`
	Asking     []string `json:"asking,omitempty"`
	Permits    int      `json:"own_permits"`
	Demand     int      `json:"own_demand"`
}

func dumpLimits(limits []sendlimit.Status) []limitDump {
	var list []limitDump
	for _, l := range limits {
		list = append(list, limitDump{
			Endpoint: l.Endpoint, PerSecond: l.Rate, NamedAgoMS: l.Age.Milliseconds(), Home: l.Home, Settled: l.Settled, Level: l.Level,
			Asking: l.Asking, Permits: l.Permits, Demand: l.Demand,
		})
	}
	return list
}

type memberDump struct {
	Address    string `json:"address"`
	HeardAgoMS int64  `json:"heard_ago_ms"`
}

func (c *control) dump() Dump {
	now := c.front.now()
	d := Dump{
		ID: c.front.config.ID, Incarnation: c.front.incarnation, NotReady: c.front.notReady(),
		Members: map[string]memberDump{}, Endpoints: c.directory.All(), Loads: c.scheduler.Status(now),
		Waiting: c.scheduler.QueueLengths(), Spill: c.scheduler.SpillStatus(), Sharing: c.scheduler.Sharing(now), CapLevels: c.limiter.Levels(now),
		Limits: dumpLimits(c.sendLimits.Status(now)), Places: c.places.EndpointStatuses(now),
		Rollouts: c.dumpRollouts(now),
	}
	d.addHeld(c.quarantine.Held())
	for _, l := range c.front.intakes.all() {
		d.Listeners = append(d.Listeners, l.Status())
	}
	if c.configuration.table != nil {
		d.Version = c.configuration.table.Version
	}
	if age, known := c.configuration.freshness.Age(now); known {
		d.ConfigurationAgeMS = age.Milliseconds()
	}
	for id, s := range c.members.all {
		d.Members[id] = memberDump{Address: s.Address, HeardAgoMS: (now - s.lastChange).Milliseconds()}
	}
	return d
}
