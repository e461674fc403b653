package caller

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

const (
	requestIDBytes    = 16  // random bytes of a request ID that the entry chooses
	maxIDLength       = 128 // bytes of a request ID or an idempotency key
	maxDeadline       = 24 * time.Hour
	bearerPrefix      = "Bearer "
	initialBodyBuffer = 4 << 10 // bytes
)

// notForwarded lists the request header fields that endpoints don't get: those that
// apply to one connection only, and those that are meant for this system.
var notForwarded = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Host": true, "Content-Length": true, "Expect": true, "Accept-Encoding": true,
	HeaderTier: true, HeaderDeadline: true, HeaderRequestID: true, HeaderIdempotencyKey: true,
}

// readHeaders fills in the fields of r that depend on the header. It sets the request
// ID even if it returns a problem, so that the refusal can carry it.
func readHeaders(from *http.Request, r *Request) *Problem {
	r.ID = newID()
	if chosen := from.Header.Get(HeaderRequestID); chosen != "" {
		if !validID(chosen) {
			return badRequest(HeaderRequestID + " must be at most 128 visible ASCII characters")
		}
		r.ID = chosen
		r.ChosenID = true
	}
	r.KeyDigest = keyDigest(from.Header.Get("Authorization"))
	r.Tier = from.Header.Get(HeaderTier)
	r.IdempotencyKey = from.Header.Get(HeaderIdempotencyKey)
	if r.IdempotencyKey != "" && !validID(r.IdempotencyKey) {
		return badRequest(HeaderIdempotencyKey + " must be at most 128 visible ASCII characters")
	}
	if err := readDeadline(from.Header.Get(HeaderDeadline), r); err != nil {
		return badRequest(err.Error())
	}
	r.Headers = forwardedHeaders(from.Header)
	return nil
}

// readDeadline parses the value of HeaderDeadline.
func readDeadline(value string, r *Request) error {
	if value == "" {
		return nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return errors.Errorf("%s must be a number of milliseconds from 1 to %d", HeaderDeadline, maxDeadline.Milliseconds())
	}
	r.Deadline = time.Duration(ms) * time.Millisecond
	return nil
}

// newID returns a random request ID.
func newID() string {
	var raw [requestIDBytes]byte
	_, _ = rand.Read(raw[:]) // never fails
	return hex.EncodeToString(raw[:])
}

// validID reports whether a request ID or idempotency key is short enough and consists
// of visible ASCII characters.
func validID(id string) bool {
	if len(id) > maxIDLength {
		return false
	}
	for _, b := range []byte(id) {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

// keyDigest returns the SHA-256 of the bearer key in an Authorization header in hex, or
// an empty string if there is none.
func keyDigest(authorization string) string {
	if len(authorization) <= len(bearerPrefix) || !strings.EqualFold(authorization[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	sum := sha256.Sum256([]byte(authorization[len(bearerPrefix):]))
	return hex.EncodeToString(sum[:])
}

// forwardedHeaders returns the header fields that are forwarded to the endpoint. The
// fields that Connection names apply to the caller's connection only and are left out.
func forwardedHeaders(from http.Header) []Header {
	dropped := map[string]bool{}
	for _, name := range strings.Split(from.Get("Connection"), ",") {
		dropped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
	}
	var kept []Header
	for name, values := range from {
		if notForwarded[name] || dropped[name] {
			continue
		}
		for _, value := range values {
			kept = append(kept, Header{Name: name, Value: value})
		}
	}
	return kept
}

// servicePath returns the path and the query of the request to a service: the
// caller's, without the prefix that names the service.
func servicePath(u *url.URL, name string) string {
	path := strings.TrimPrefix(u.EscapedPath(), servicesPrefix+url.PathEscape(name))
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return path
}

// acquireBodyMemory waits until there is memory for the body. A body of unknown length
// counts as MaxBodyBytes long.
func (s *Server) acquireBodyMemory(c echo.Context, r *Request) (func(), *Problem) {
	size := c.Request().ContentLength
	if size > s.config.MaxBodyBytes {
		return nil, s.bodyTooLarge()
	}
	if size < 0 {
		size = s.config.MaxBodyBytes
	}
	return s.config.Handler.AcquireBodyMemory(c.Request().Context(), r, size)
}

// readBody reads the whole body, within MaxBodyBytes and ReadTimeout.
func (s *Server) readBody(c echo.Context, r *Request) *Problem {
	from := c.Request()
	control := http.NewResponseController(c.Response())
	_ = control.SetReadDeadline(time.Now().Add(s.config.ReadTimeout))
	body := bytes.NewBuffer(make([]byte, 0, initialBodyBuffer))
	_, err := io.Copy(body, http.MaxBytesReader(c.Response(), from.Body, s.config.MaxBodyBytes))
	if err != nil {
		tooLarge := &http.MaxBytesError{}
		if errors.As(err, &tooLarge) {
			return s.bodyTooLarge()
		}
		return &Problem{Kind: "slow-body", Status: http.StatusRequestTimeout, Detail: "the body did not arrive in time", Outcome: OutcomeNotRun}
	}
	_ = control.SetReadDeadline(time.Time{})
	r.Body = body.Bytes()
	return nil
}

func (s *Server) bodyTooLarge() *Problem {
	detail := "the body is longer than " + strconv.FormatInt(s.config.MaxBodyBytes, 10) + " bytes"
	return &Problem{Kind: "too-large", Status: http.StatusRequestEntityTooLarge, Detail: detail, Outcome: OutcomeNotRun}
}
