package front

import (
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/places"
	"primrosespoke.dev/coord/scheduler"
)

// Places of model engines are given out by their homes, see package places.

const (
	// maxPlaceEntries bounds the endpoints of one datagram about places.
	maxPlaceEntries = 256
	// maxOwnPlacePlans bounds how often places that this front grants itself are planned with at once.
	maxOwnPlacePlans = 3
)

// placeStatus is a places.Status in a datagram.
type placeStatus struct {
	Endpoint string  `cbor:"1,keyasint"`
	Born     int64   `cbor:"2,keyasint"`
	Sequence uint64  `cbor:"3,keyasint"`
	Running  int     `cbor:"4,keyasint,omitempty"`
	Prompts  int     `cbor:"5,keyasint,omitempty"`
	Unused   int     `cbor:"6,keyasint,omitempty"`
	Received int     `cbor:"7,keyasint,omitempty"`
	Wanted   int     `cbor:"8,keyasint,omitempty"`
	Value    float64 `cbor:"9,keyasint,omitempty"`
	Failed   int     `cbor:"10,keyasint,omitempty"`
	Reached  int     `cbor:"11,keyasint,omitempty"`
}

// placeAnswer is a places.Answer in a datagram.
type placeAnswer struct {
	Endpoint string `cbor:"1,keyasint"`
	Born     int64  `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
	Granted  int    `cbor:"4,keyasint,omitempty"`
	Running  int    `cbor:"5,keyasint,omitempty"`
	Prompts  int    `cbor:"6,keyasint,omitempty"`
	ClosedMS int64  `cbor:"7,keyasint,omitempty"`
	Unknown  bool   `cbor:"8,keyasint,omitempty"`
}

func encodeStatuses(list []places.Status) []placeStatus {
	encoded := make([]placeStatus, 0, len(list))
	for _, s := range list {
		encoded = append(encoded, placeStatus{
			Endpoint: s.Endpoint, Born: s.Born, Sequence: s.Sequence, Running: s.Held.Running, Prompts: s.Held.PromptTokens,
			Unused: s.Unused, Received: s.Received, Wanted: s.Wanted, Value: float64(float32(s.Value)), Failed: s.Failed, Reached: s.Reached,
		})
	}
	return encoded
}

func (s placeStatus) decode() places.Status {
	return places.Status{
		Endpoint: s.Endpoint, Born: s.Born, Sequence: s.Sequence, Held: places.Load{Running: clampCount(s.Running), PromptTokens: clampCount(s.Prompts)},
		Unused: clampCount(s.Unused), Received: clampCount(s.Received), Wanted: clampCount(s.Wanted), Value: s.Value, Failed: clampCount(s.Failed), Reached: clampCount(s.Reached),
	}
}

func encodeAnswers(list []places.Answer) []placeAnswer {
	encoded := make([]placeAnswer, 0, len(list))
	for _, a := range list {
		encoded = append(encoded, placeAnswer{
			Endpoint: a.Endpoint, Born: a.Born, Sequence: a.Sequence, Granted: a.Granted, Running: a.Others.Running, Prompts: a.Others.PromptTokens, ClosedMS: a.Closed.Milliseconds(), Unknown: a.Unknown,
		})
	}
	return encoded
}

func (a placeAnswer) decode() places.Answer {
	return places.Answer{
		Endpoint: a.Endpoint, Born: a.Born, Sequence: a.Sequence, Granted: clampCount(a.Granted),
		Others: places.Load{Running: clampCount(a.Running), PromptTokens: clampCount(a.Prompts)}, Closed: age(a.ClosedMS), Unknown: a.Unknown,
	}
}

// checkPlaces returns an error if what another entry says about places can't be used.
func checkPlaces(r directReport) error {
	if len(r.Statuses) > maxPlaceEntries || len(r.Places) > maxPlaceEntries {
		return errors.New("datagram: places of too many endpoints")
	}
	for _, s := range r.Statuses {
		if !isFinite(s.Value) || s.Value < 0 {
			return errors.New("datagram: value of a place that is no amount")
		}
	}
	return nil
}

// stepPlaces gives out places as a home and sends the messages that are due. It reports whether this
// front has got places from itself.
func (c *control) stepPlaces(now time.Duration) bool {
	c.scheduler.UpdatePlaces()
	effects := c.places.Step(now)
	for _, home := range effects.Silent {
		c.front.log.Info().Str("home", home).Msg("places_home_silent")
		c.front.metrics.homeSilent()
	}
	for _, home := range effects.Answering {
		c.front.log.Info().Str("home", home).Msg("places_home_answers")
	}
	for _, e := range effects.Closures {
		c.front.log.Info().Str("endpoint", e.Endpoint).Bool("closed", e.For > 0).Strs("witnesses", e.Witnesses).Int64("for_ms", e.For.Milliseconds()).Msg("places_closed")
		c.front.metrics.placesClosed(e.For > 0)
	}
	for to, list := range effects.Statuses {
		for len(list) > 0 {
			n := min(len(list), maxPlaceEntries)
			c.report(directReport{From: c.front.config.ID, Statuses: encodeStatuses(list[:n])}, []string{to})
			list = list[n:]
		}
	}
	for to, list := range effects.Answers {
		for _, a := range list {
			c.front.metrics.placesGranted(a.Granted)
		}
		for len(list) > 0 {
			n := min(len(list), maxPlaceEntries)
			c.report(directReport{From: c.front.config.ID, Places: encodeAnswers(list[:n])}, []string{to})
			list = list[n:]
		}
	}
	return effects.Own
}

// receivePlaces applies what another entry says about places, once it is known.
func (c *control) receivePlaces(now time.Duration, r directReport) {
	if !c.front.config.Places || c.members.all[r.From] == nil {
		return
	}
	for _, s := range r.Statuses {
		c.places.ReceiveStatus(now, r.From, s.decode())
	}
	for _, a := range r.Places {
		c.places.ReceiveAnswer(now, r.From, a.decode())
	}
}

// placeLoads converts the loads of an entry that reports them alone.
func placeLoads(loads map[string]scheduler.Load) map[string]places.Load {
	converted := make(map[string]places.Load, len(loads))
	for id, l := range loads {
		converted[id] = places.Load{Running: l.Running, PromptTokens: l.PromptTokens}
	}
	return converted
}

// placesChanged passes the endpoints on whose places are given out: those of model engines.
func (c *control) placesChanged() {
	table := c.configuration.table
	if table == nil || !c.front.config.Places {
		return
	}
	var list []places.Endpoint
	for _, e := range c.directory.All() {
		if s, ok := table.Service(e.Service); ok && s.Engine {
			slots := e.Slots
			if slots == 0 {
				slots = s.Slots
			}
			list = append(list, places.Endpoint{ID: e.ID, Born: e.Born, Slots: slots})
		}
	}
	c.places.SetEndpoints(list)
}
