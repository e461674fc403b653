package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"primrosespoke.dev/coord/table"
)

// problemTypePrefix followed by the kind is the type of a problem (RFC 9457), a URN.
const problemTypePrefix = "urn:primrosespoke:problem:"

// Problem is an error response, sent as application/problem+json (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Kind is a fixed machine-readable code such as "table-conflict".
	Kind string `json:"kind"`
	// EditID identifies the edit that was refused or is undecided.
	EditID string `json:"edit_id,omitempty"`
	// Reason, Conflicts and Findings explain a rejected edit.
	Reason    table.Reason     `json:"reason,omitempty"`
	Conflicts []table.Conflict `json:"conflicts,omitempty"`
	Findings  []table.Finding  `json:"findings,omitempty"`
	// Omitted counts the conflicts and findings that are not listed.
	Omitted int `json:"omitted,omitempty"`
	// RetryAfter is the number of seconds after which to retry; 0 = the unchanged request
	// should not be retried.
	RetryAfter int `json:"retry_after,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string {
	return p.Kind + ": " + p.Detail
}

// writeError sends the error of a handler as a Problem, unless a response has begun.
func (s *server) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	p := asProblem(err)
	p.Type = problemTypePrefix + p.Kind
	p.Title = http.StatusText(p.Status)
	if p.RetryAfter > 0 {
		c.Response().Header().Set("Retry-After", itoa(p.RetryAfter))
	}
	if p.Status >= http.StatusInternalServerError {
		s.cfg.Log.Warn().Err(err).Str("path", c.Path()).Int("status", p.Status).Msg("operator_request_failed")
	}
	c.Response().Header().Set(echo.HeaderContentType, "application/problem+json")
	c.Response().WriteHeader(p.Status)
	if encodeErr := c.Echo().JSONSerializer.Serialize(c, p, "  "); encodeErr != nil {
		s.cfg.Log.Debug().Err(encodeErr).Msg("operator_answer_not_written")
	}
}

// asProblem returns the Problem for an error; an error of unknown kind is internal.
func asProblem(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	var h *echo.HTTPError
	if errors.As(err, &h) {
		return &Problem{Kind: "request", Status: h.Code, Detail: err.Error()}
	}
	return &Problem{Kind: "internal", Status: http.StatusInternalServerError, Detail: err.Error()}
}

// findingsProblem returns the Problem for an edit with errors that prevent a verdict.
func findingsProblem(findings []table.Finding) *Problem {
	return &Problem{
		Kind: "table-findings", Status: http.StatusUnprocessableEntity,
		Detail: "the edit has errors; nothing was changed", Reason: table.ReasonRules, Findings: findings,
	}
}

// verdictProblem returns the Problem for an edit that was rejected by its verdict.
func verdictProblem(v table.Verdict) *Problem {
	p := &Problem{
		Status: http.StatusConflict, EditID: v.EditID, Reason: v.Reason,
		Conflicts: v.Conflicts, Findings: v.Findings, Omitted: v.Omitted,
	}
	switch v.Reason {
	case table.ReasonConflict:
		p.Kind = "table-conflict"
		p.Detail = "rows moved since they were read; nothing was changed"
	case table.ReasonTooOld:
		p.Kind = "table-too-old"
		p.Detail = "the table was read too long ago, or was never at that version; read it again"
	default:
		p.Kind = "table-findings"
		p.Status = http.StatusUnprocessableEntity
		p.Detail = "the resulting table would break its rules; nothing was changed"
	}
	return p
}
