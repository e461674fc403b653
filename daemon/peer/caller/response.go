package caller

import (
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const maxStatus = 599

// notReturned are header fields of an endpoint's answer that concern one
// connection, or are the system's own.
var notReturned = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, HeaderOutcome: true,
}

// Response writes one answer to a caller. It is used by one goroutine.
type Response struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	requestID    string
	writeTimeout time.Duration
	started      bool
	events       bool // the answer is a stream of server-sent events
	aborted      bool
}

func newResponse(w http.ResponseWriter, requestID string, writeTimeout time.Duration) *Response {
	return &Response{
		w:            w,
		control:      http.NewResponseController(w),
		requestID:    requestID,
		writeTimeout: writeTimeout,
	}
}

// release ends the write timeout, so that it does not hit the connection's next request.
func (r *Response) release() {
	_ = r.control.SetWriteDeadline(time.Time{})
}

// Started tells whether anything was sent.
func (r *Response) Started() bool {
	return r.started
}

// WriteHeader sends the status and the header fields of the endpoint's answer.
func (r *Response) WriteHeader(status int, headers []Header) {
	for _, h := range headers {
		if !notReturned[http.CanonicalHeaderKey(h.Name)] {
			r.w.Header().Add(h.Name, h.Value)
		}
	}
	if status < http.StatusOK || status > maxStatus {
		status = http.StatusBadGateway
	}
	r.w.Header().Set(HeaderRequestID, r.requestID)
	r.events = strings.HasPrefix(r.w.Header().Get("Content-Type"), "text/event-stream")
	r.started = true
	r.w.WriteHeader(status)
}

// Write sends bytes of the body at once. An error means that the caller has
// gone, or did not take the bytes within the write timeout.
func (r *Response) Write(data []byte) error {
	_ = r.control.SetWriteDeadline(time.Now().Add(r.writeTimeout))
	if _, err := r.w.Write(data); err != nil {
		return errors.Wrap(err, "write answer")
	}
	return errors.Wrap(r.control.Flush(), "flush answer")
}

// WriteProblem sends a problem as the whole answer.
func (r *Response) WriteProblem(p *Problem) {
	_ = r.control.SetWriteDeadline(time.Now().Add(r.writeTimeout))
	r.started = true
	p.write(r.w, r.requestID)
	r.release()
}

// Abort ends an answer that was sent in part: an error event where the answer is
// a stream of events, and an aborted connection in any case.
func (r *Response) Abort(p *Problem) {
	r.aborted = true
	if !r.events {
		return
	}
	event := "\n\nevent: error\ndata: " + string(p.encode(r.requestID)) + "\n\n"
	_ = r.Write([]byte(event))
}
