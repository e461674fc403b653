package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// problemTypePrefix followed by the kind is the type of a problem (RFC 9457), a URN.
const problemTypePrefix = "urn:primrosespoke:problem:"

// Outcomes of a problem tell the caller whether its request was run, and with that
// whether it is safe to repeat; see docs/API.md.
const (
	OutcomeNotRun     = "not_run"
	OutcomeMayHaveRun = "may_have_run"
	OutcomeRan        = "ran"
)

// Problem describes a refusal or a failure. It is sent as application/problem+json (RFC 9457).
type Problem struct {
	// Kind identifies the problem to programs, for example "over-limit".
	Kind string
	// Status is the HTTP status.
	Status int
	// Detail describes the problem to people.
	Detail string
	// Outcome tells whether the request was run, one of the Outcome constants.
	Outcome string
	// RetryAfter is the time to wait before a retry; 0 = the same request should not be
	// repeated.
	RetryAfter time.Duration
}

// Error implements error.
func (p *Problem) Error() string {
	return p.Kind + ": " + p.Detail
}

// problemBody is the JSON form of a Problem. The member "error" repeats the problem
// in the format that client libraries of model engines read.
type problemBody struct {
	Type      string      `json:"type"`
	Title     string      `json:"title"`
	Status    int         `json:"status"`
	Detail    string      `json:"detail"`
	Outcome   string      `json:"outcome"`
	RequestID string      `json:"request_id"`
	Error     errorMember `json:"error"`
}

// errorMember is the member "error" of a problemBody.
type errorMember struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func (p *Problem) encode(requestID string) []byte {
	body := problemBody{
		Type:      problemTypePrefix + p.Kind,
		Title:     http.StatusText(p.Status),
		Status:    p.Status,
		Detail:    p.Detail,
		Outcome:   p.Outcome,
		RequestID: requestID,
		Error:     errorMember{Message: p.Detail, Type: p.Kind, Code: p.Outcome},
	}
	data, err := json.Marshal(body)
	if err != nil {
		return []byte("{}")
	}
	return data
}

func (p *Problem) write(w http.ResponseWriter, requestID string) {
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set(HeaderRequestID, requestID)
	header.Set(HeaderOutcome, p.Outcome)
	if p.Outcome != OutcomeNotRun {
		// Client libraries that retry on their own honour this header. The request may
		// have run, and a retry could run it twice.
		header.Set("X-Should-Retry", "false")
	}
	if p.RetryAfter > 0 {
		seconds := int64(math.Ceil(p.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(p.encode(requestID))
}

// badRequest returns the problem for a malformed or invalid request.
func badRequest(detail string) *Problem {
	return &Problem{Kind: "bad-request", Status: http.StatusBadRequest, Detail: detail, Outcome: OutcomeNotRun}
}
