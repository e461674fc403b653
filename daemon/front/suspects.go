package front

import (
	"encoding/json"
	"hash/fnv"
	"io"
	"math"
	"strconv"
	"time"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/quarantine"
	"primrosespoke.dev/coord/scheduler"
)

const (
	// maxSuspectWait is how long a request waits for the end of another one with the same
	// suspected subject.
	maxSuspectWait = time.Second
	// convictedRetryAfter is the Retry-After of a request with a convicted subject, and
	// restrictedRetryAfter that of one that another entry may send.
	convictedRetryAfter  = maxRetryAfter
	restrictedRetryAfter = time.Second
	// maxReportedSubjects is how many subjects a report carries evidence about.
	maxReportedSubjects = 16
	// maxPersistedSubjects is how many convicted subjects an entry writes to its row in the store.
	maxPersistedSubjects = 64
)

// Reasons to refuse a request, for a part of its prompt or for the whole of it.
const (
	reasonPartConvicted     scheduler.Reason = "endpoints_crash_on_part"
	reasonPartSuspected     scheduler.Reason = "endpoints_may_crash_on_part"
	reasonRequestConvicted  scheduler.Reason = "endpoints_crash_on_request"
	reasonRequestSuspected  scheduler.Reason = "endpoints_may_crash_on_request"
	reasonRequestRestricted scheduler.Reason = "endpoints_may_crash_on_request_sent_by_other_entry"
)

// subjectNames are the names of the kinds of subjects in logs, and in the operators' interface.
var subjectNames = map[quarantine.Kind]string{quarantine.Part: "part", quarantine.Request: "request"}

// subjectFields are the fields of log lines with the ID of a subject.
var subjectFields = map[quarantine.Kind]string{quarantine.Part: "part", quarantine.Request: "content"}

// partID returns the number of a part by its ID: its value if it is hexadecimal, or a hash.
func partID(id string) uint64 {
	if n, err := strconv.ParseUint(id, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, id) // a hash does not fail
	return h.Sum64()
}

// subjectsOf returns what is accused if an endpoint ends under a request: the shared parts of its
// prompt, and the request itself.
func subjectsOf(parts []string, content uint64) []quarantine.Subject {
	subjects := make([]quarantine.Subject, 0, len(parts)+1)
	for _, id := range parts {
		subjects = append(subjects, quarantine.Subject{Kind: quarantine.Part, ID: partID(id)})
	}
	return append(subjects, quarantine.Subject{Kind: quarantine.Request, ID: content})
}

func subjectID(s quarantine.Subject) string {
	return strconv.FormatUint(s.ID, 16)
}

// crashID identifies the end of an incarnation of an endpoint to all entries.
func crashID(endpoint string, born int64) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, endpoint+"/"+strconv.FormatInt(born, 10))
	return h.Sum64()
}

// crashMessage reports that an endpoint ended as it began to answer a request.
type crashMessage struct{ run brokenRun }

func (m crashMessage) apply(c *control) {
	now := c.front.now()
	crash := quarantine.Crash{ID: crashID(m.run.endpoint, m.run.born), At: m.run.at, Began: m.run.sentAt}
	changes := c.quarantine.Crashed(now, crash, m.run.subjects)
	for _, s := range m.run.subjects {
		event := ""
		switch c.quarantine.Standing(s) {
		case quarantine.Suspected:
			event = "_suspected"
		case quarantine.Restricted:
			event = "_restricted"
		case quarantine.Clear, quarantine.Convicted:
			continue
		}
		c.front.log.Info().Str(subjectFields[s.Kind], subjectID(s)).Str("request_id", m.run.requestID).Str("endpoint", m.run.endpoint).
			Msg(subjectNames[s.Kind] + event)
	}
	c.reporting.urgent = true
	c.subjectsChanged(changes)
}

// subjectsChanged logs the subjects that were convicted or let go, and publishes those that are
// held back.
func (c *control) subjectsChanged(changes []quarantine.Change) {
	for _, change := range changes {
		event := subjectNames[change.Subject.Kind] + "_let_go"
		if change.Convicted {
			event = subjectNames[change.Subject.Kind] + "_convicted"
		}
		c.front.log.Warn().Str(subjectFields[change.Subject.Kind], subjectID(change.Subject)).Int("crashes", change.Crashes).
			Str("reason", string(change.Reason)).Msg(event)
		c.front.metrics.subjectChanged(event)
	}
	c.publishHeld()
}

// publishHeld makes what is held back visible to the request goroutines and to the writer of this
// entry's row, if it has changed.
func (c *control) publishHeld() {
	version := c.quarantine.Version()
	if version == c.heldVersion {
		return
	}
	c.heldVersion = version
	held := c.quarantine.Held()
	for s, h := range held {
		if !h.Convicted && !c.isElected(s) {
			h.InFlight = 0 // another entry sends it
			held[s] = h
		}
	}
	c.front.heldSubjects.Store(&held)
}

// checkSubjects returns a reason not to send a request that was convicted, or that another entry
// alone may send, since it was placed; empty = it may be sent.
func (d *delivery) checkSubjects() string {
	held := *d.front.heldSubjects.Load()
	for _, s := range d.subjects {
		h, ok := held[s]
		if !ok || h.InFlight == d.id {
			continue
		}
		if h.Convicted {
			return string(heldReason(s, quarantine.Convicted))
		}
		return string(heldReason(s, quarantine.Restricted))
	}
	return ""
}

// heldReason returns the reason to refuse a request for a subject with a standing.
func heldReason(s quarantine.Subject, standing quarantine.Standing) scheduler.Reason {
	switch {
	case s.Kind == quarantine.Part && standing == quarantine.Convicted:
		return reasonPartConvicted
	case s.Kind == quarantine.Part:
		return reasonPartSuspected
	case standing == quarantine.Convicted:
		return reasonRequestConvicted
	case standing == quarantine.Restricted:
		return reasonRequestRestricted
	}
	return reasonRequestSuspected
}

// isElected reports whether this entry sends requests with a restricted subject and makes the
// trials of a convicted one: one of all entries does.
func (c *control) isElected(s quarantine.Subject) bool {
	entries := []membership.Instance{{ID: c.front.config.ID}}
	for id := range c.members.all {
		entries = append(entries, membership.Instance{ID: id})
	}
	return membership.Rendezvous(subjectNames[s.Kind]+subjectID(s), entries)[0].ID == c.front.config.ID
}

// mayTry returns whether this entry sends a request to a service although it may end an endpoint:
// it is elected, and the service has an endpoint to spare.
func (c *control) mayTry(service string) func(quarantine.Subject) bool {
	return func(s quarantine.Subject) bool {
		return c.isElected(s) && c.canSpareEndpoint(service)
	}
}

// canSpareEndpoint reports whether a service goes on if one of its endpoints ends, or has only
// one in any case. Endpoints that are known to have ended may still be listed.
func (c *control) canSpareEndpoint(service string) bool {
	usable, listed := c.scheduler.UsableEndpoints(c.front.now(), service)
	alive := 0
	for _, id := range usable {
		if !c.quarantine.HasEnded(crashID(id, c.born[id])) {
			alive++
		}
	}
	return alive > 1 || listed <= 1
}

// heldRequest is a request that waits for the end of another one with a suspected subject.
type heldRequest struct {
	message submitMessage
	since   time.Duration
}

// admitSubjects decides on a request by what is held against it and the parts of its prompt. It
// returns false if the request was refused or held.
func (c *control) admitSubjects(m submitMessage, since time.Duration) bool {
	now := c.front.now()
	admission, subject := c.quarantine.Admit(now, m.request.ID, m.subjects, c.mayTry(m.request.Service))
	switch admission {
	case quarantine.Refused:
		standing := c.quarantine.Standing(subject)
		after := convictedRetryAfter
		if standing == quarantine.Restricted {
			after = restrictedRetryAfter
		}
		c.refuseSubject(m, subject, heldReason(subject, standing), after, now-since)
		return false
	case quarantine.Wait:
		if now >= min(since+maxSuspectWait, m.request.NextByteDeadline) {
			c.refuseSubject(m, subject, heldReason(subject, quarantine.Suspected), minRetryAfter, now-since)
		} else {
			c.held = append(c.held, heldRequest{message: m, since: since})
		}
		return false
	case quarantine.Admitted:
	}
	if subject.Kind != 0 {
		c.front.log.Info().Str("request_id", m.callID).Str(subjectFields[subject.Kind], subjectID(subject)).Msg(subjectNames[subject.Kind] + "_tried")
		c.publishHeld() // the request may be a trial
	}
	return true
}

func (c *control) refuseSubject(m submitMessage, s quarantine.Subject, reason scheduler.Reason, after, waited time.Duration) {
	c.front.log.Info().Str("request_id", m.callID).Str(subjectFields[s.Kind], subjectID(s)).Str("reason", string(reason)).
		Msg(subjectNames[s.Kind] + "_held_back")
	c.front.metrics.subjectHeldBack(string(reason))
	c.decide(m.request.ID, decision{refusal: &scheduler.Refusal{Request: m.request.ID, Reason: reason, RetryAfter: after, Waited: waited}})
}

// reviewHeld decides again on the requests that wait for another one.
func (c *control) reviewHeld() {
	held := c.held
	c.held = nil
	for _, h := range held {
		if _, waiting := c.undecided[h.message.request.ID]; waiting && c.admitSubjects(h.message, h.since) {
			c.scheduler.Enqueue(h.message.request)
		}
	}
}

// endSubjects records that a request is no longer in flight, and what its answer shows.
func (c *control) endSubjects(id uint64, answered []quarantine.Subject) {
	if len(answered) > 0 {
		c.subjectsChanged(c.quarantine.Answered(c.front.now(), answered))
	}
	c.quarantine.End(id)
	c.publishHeld()
	if len(c.held) > 0 {
		c.reviewHeld()
	}
}

// resendMessage asks whether a request may be sent again although an endpoint ended under it.
type resendMessage struct {
	subjects []quarantine.Subject
	reply    chan<- bool
}

func (m resendMessage) apply(c *control) {
	m.reply <- c.quarantine.MayResend(m.subjects)
}

// mayResend reports whether the request may be sent again although an endpoint ended under it.
func (d *delivery) mayResend() bool {
	reply := make(chan bool, 1)
	d.front.send(resendMessage{subjects: d.subjects, reply: reply})
	select {
	case may := <-reply:
		return may
	case <-d.front.stopped:
		return false
	}
}

// releaseSubjectMessage lets go of a subject for which an operator stands. The other entries
// learn it from the reports.
type releaseSubjectMessage struct {
	subject quarantine.Subject
	reply   chan<- bool
}

func (m releaseSubjectMessage) apply(c *control) {
	changes := c.quarantine.Answered(c.front.now(), []quarantine.Subject{m.subject})
	c.subjectsChanged(changes)
	m.reply <- len(changes) > 0
}

// subjectEvidence is the evidence about a subject in a report. Times are ages in milliseconds.
type subjectEvidence struct {
	ID        uint64      `cbor:"1,keyasint"`
	Crashes   [][2]uint64 `cbor:"2,keyasint,omitempty"` // ID and age
	Answered  bool        `cbor:"3,keyasint,omitempty"`
	AnswerMS  int64       `cbor:"4,keyasint,omitempty"`
	Convicted bool        `cbor:"5,keyasint,omitempty"`
	AgeMS     int64       `cbor:"6,keyasint,omitempty"`
	SeenMS    int64       `cbor:"7,keyasint,omitempty"`
	Trials    int         `cbor:"8,keyasint,omitempty"`
	TrialMS   int64       `cbor:"9,keyasint,omitempty"`
	Request   bool        `cbor:"10,keyasint,omitempty"` // it is a request, not a part of prompts
	BeganMS   []int64     `cbor:"11,keyasint,omitempty"` // age of each crashed run's begin
}

// decodeSubject returns the subject with an ID in a report or row.
func decodeSubject(id uint64, isRequest bool) quarantine.Subject {
	if isRequest {
		return quarantine.Subject{Kind: quarantine.Request, ID: id}
	}
	return quarantine.Subject{Kind: quarantine.Part, ID: id}
}

func encodeEvidence(evidence []quarantine.Evidence) []subjectEvidence {
	var encoded []subjectEvidence
	for _, e := range evidence {
		p := subjectEvidence{
			ID: e.Subject.ID, Request: e.Subject.Kind == quarantine.Request, Answered: e.Answered, Convicted: e.Convicted, Trials: e.Trials,
			AgeMS: e.Age.Milliseconds(), SeenMS: e.Seen.Milliseconds(), TrialMS: e.TrialAge.Milliseconds(),
		}
		if e.Answered {
			p.AnswerMS = e.AnswerAge.Milliseconds()
		}
		for _, c := range e.Crashes {
			p.Crashes = append(p.Crashes, [2]uint64{c.ID, uint64(max(c.Age, 0).Milliseconds())})
			p.BeganMS = append(p.BeganMS, c.Began.Milliseconds())
		}
		encoded = append(encoded, p)
	}
	return encoded
}

func decodeEvidence(encoded []subjectEvidence) []quarantine.Evidence {
	var evidence []quarantine.Evidence
	for _, p := range encoded {
		e := quarantine.Evidence{
			Subject: decodeSubject(p.ID, p.Request), Answered: p.Answered, AnswerAge: age(p.AnswerMS), Convicted: p.Convicted,
			Age: age(p.AgeMS), Seen: age(p.SeenMS), Trials: clampCount(p.Trials), TrialAge: age(p.TrialMS),
		}
		for i, c := range p.Crashes {
			crash := quarantine.CrashAge{ID: c[0], Age: age(int64(min(c[1], math.MaxInt64))), Began: maxAge}
			if i < len(p.BeganMS) {
				crash.Began = age(p.BeganMS[i])
			}
			e.Crashes = append(e.Crashes, crash)
		}
		evidence = append(evidence, e)
	}
	return evidence
}

// maxAge is the longest age in a report; longer ones mean the same.
const maxAge = 24 * time.Hour

// age returns an age that another entry reports, in milliseconds.
func age(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxAge.Milliseconds())) * time.Millisecond
}

// persistedSubject is a convicted subject in an entry's row, so that it is known after all entries
// have restarted.
type persistedSubject struct {
	ID      string `json:"part"`
	Request bool   `json:"is_request,omitempty"` // it is a request, not a part of prompts
	Trials  int    `json:"trials"`
}

// memberRow is an entry's row with what it keeps for all entries.
type memberRow struct {
	member
	Convicted []persistedSubject `json:"convicted_parts,omitempty"`
	Listed    *versionSummary    `json:"listed,omitempty"` // by which an entry that starts later extends its history
}

// encodeMember returns this entry's row.
func (f *Front) encodeMember(beat int64) ([]byte, error) {
	row := memberRow{member: member{
		Address: f.config.PeerAddress, FailureDomain: f.config.FailureDomain, Incarnation: f.incarnation, Beat: beat,
	}}
	if w := f.listedVersions.Load(); w != nil {
		row.Listed = newVersionSummary(f.now(), *w)
	}
	for s, h := range *f.heldSubjects.Load() {
		if h.Convicted && len(row.Convicted) < maxPersistedSubjects {
			row.Convicted = append(row.Convicted, persistedSubject{ID: subjectID(s), Request: s.Kind == quarantine.Request, Trials: h.Trials})
		}
	}
	return json.Marshal(row)
}

// restoreTime is how long after its start an entry takes over what the rows of the entries say
// about subjects. Later on the reports say more.
const restoreTime = 10 * time.Second

// restoreSubjects takes over the convicted subjects of an entry's row after the start.
func (c *control) restoreSubjects(persisted []persistedSubject) {
	if c.front.now() > c.startedAt+restoreTime {
		return
	}
	for _, p := range persisted {
		n, err := strconv.ParseUint(p.ID, 16, 64)
		if err != nil {
			c.front.log.Warn().Str("subject", p.ID).Err(err).Msg("persisted_subject_unusable")
			continue
		}
		if s := decodeSubject(n, p.Request); !c.quarantine.Known(s) {
			c.subjectsChanged(c.quarantine.Merge(c.front.now(), []quarantine.Evidence{{Subject: s, Convicted: true, Trials: p.Trials}}))
		}
	}
}
