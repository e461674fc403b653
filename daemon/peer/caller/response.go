package caller

import (
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const maxStatus = 599 // largest HTTP status code

// notReturned lists the header fields of an endpoint's answer that callers don't get:
// those that apply to one connection only, and HeaderOutcome, which this system sets.
var notReturned = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, HeaderOutcome: true,
}

// Response writes one answer to a caller. It must not be used concurrently.
type Response struct {
	writer       http.ResponseWriter
	control      *http.ResponseController
	requestID    string
	writeTimeout time.Duration
	started      bool
	eventStream  bool // the answer is server-sent events
	aborted      bool // the connection is to be closed before the answer is complete
}

func newResponse(w http.ResponseWriter, requestID string, writeTimeout time.Duration) *Response {
	return &Response{
		writer:       w,
		control:      http.NewResponseController(w),
		requestID:    requestID,
		writeTimeout: writeTimeout,
	}
}

// clearWriteDeadline removes the write deadline, which would otherwise apply to the
// next request on the connection.
func (r *Response) clearWriteDeadline() {
	_ = r.control.SetWriteDeadline(time.Time{})
}

// Started reports whether a part of the answer was sent.
func (r *Response) Started() bool {
	return r.started
}

// WriteHeader sends the status and the header fields of the endpoint's answer. A status
// outside 200 to 599 is replaced by 502.
func (r *Response) WriteHeader(status int, headers []Header) {
	for _, h := range headers {
		if !notReturned[http.CanonicalHeaderKey(h.Name)] {
			r.writer.Header().Add(h.Name, h.Value)
		}
	}
	if status < http.StatusOK || status > maxStatus {
		status = http.StatusBadGateway
	}
	r.writer.Header().Set(HeaderRequestID, r.requestID)
	r.eventStream = strings.HasPrefix(r.writer.Header().Get("Content-Type"), "text/event-stream")
	r.started = true
	r.writer.WriteHeader(status)
}

// Write sends a part of the body without buffering. An error means that the caller has
// disconnected or did not accept the data within the write timeout.
func (r *Response) Write(data []byte) error {
	_ = r.control.SetWriteDeadline(time.Now().Add(r.writeTimeout))
	if _, err := r.writer.Write(data); err != nil {
		return errors.Wrap(err, "write answer")
	}
	return errors.Wrap(r.control.Flush(), "flush answer")
}

// WriteProblem answers the request with a problem.
func (r *Response) WriteProblem(p *Problem) {
	_ = r.control.SetWriteDeadline(time.Now().Add(r.writeTimeout))
	r.started = true
	p.write(r.writer, r.requestID)
	r.clearWriteDeadline()
}

// Abort ends an answer that was sent in part. If the answer is server-sent events, it
// sends the problem as an error event. In any case the connection is closed without
// the regular end of the answer, so that the caller cannot take it for complete.
func (r *Response) Abort(p *Problem) {
	r.aborted = true
	if !r.eventStream {
		return
	}
	event := "\n\nevent: error\ndata: " + string(p.encode(r.requestID)) + "\n\n"
	_ = r.Write([]byte(event))
}
