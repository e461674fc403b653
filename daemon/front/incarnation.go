package front

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/routing"
	"primrosespoke.dev/coord/scheduler"
	"primrosespoke.dev/daemon/peer/backend"
)

// An endpoint that starts anew under its ID answers before its row is read, and nothing in an
// answer names the incarnation. So the software version that the list names is that of a
// connection only once the endpoint has stated its incarnation there.

const (
	// identifyTimeout limits the time in which an endpoint states its incarnation.
	identifyTimeout = 400 * time.Millisecond
	// maxIncarnationBytes limits what it states.
	maxIncarnationBytes = 256 << 10
)

// Reasons why a placement is not carried out.
const (
	reasonOtherIncarnation = "endpoint is another incarnation than listed"
	reasonNotIdentified    = "endpoint did not state its incarnation"
)

// checkIncarnation returns a reason not to send a stream that may go on elsewhere on a
// connection, and how the attempt ends; empty = the incarnation that was placed at has the
// connection. Other requests hold nothing that another version could go on with.
func (d *delivery) checkIncarnation(p scheduler.Placement, conn *backend.Conn) (string, scheduler.Outcome) {
	route := d.admission.Route
	if route.Kind != routing.Streaming || !route.Resumable || p.Born == 0 {
		return "", 0
	}
	born, known := conn.Incarnation()
	if !known {
		var err error
		if born, err = d.front.identify(d.attemptContext, conn); err != nil {
			d.front.log.Info().Str("request_id", d.call.ID).Str("endpoint", p.Endpoint).Int64("born", p.Born).Err(err).Msg("endpoint_not_identified")
			return reasonNotIdentified, d.unreachableOutcome()
		}
		conn.SetIncarnation(born)
	}
	if born == p.Born {
		return "", 0
	}
	d.front.log.Info().Str("request_id", d.call.ID).Str("endpoint", p.Endpoint).Int64("born", born).Int64("born_listed", p.Born).
		Int64("list_age_ms", d.front.listAge().Milliseconds()).Msg("endpoint_not_as_listed")
	return reasonOtherIncarnation, scheduler.Unreachable
}

// unreachableOutcome returns the outcome of an attempt before which its endpoint did not respond.
func (d *delivery) unreachableOutcome() scheduler.Outcome {
	if d.attemptContext.Err() != nil {
		return scheduler.Abandoned
	}
	return scheduler.Unreachable
}

// identify asks the endpoint for its incarnation on a connection that is to carry a request.
func (f *Front) identify(ctx context.Context, conn *backend.Conn) (born int64, err error) {
	timeout := time.AfterFunc(identifyTimeout, conn.Close)
	defer timeout.Stop()
	method, uri := f.config.Wire.IncarnationRequest()
	if _, err := conn.Send(&backend.Request{Method: method, URI: uri, Host: conn.Address(), Header: http.Header{}}); err != nil {
		return 0, err
	}
	// The answer to a caller's request names that request.
	resp, err := conn.Receive(method, func(status int, h http.Header) bool {
		return f.config.Wire.ReadHead(status, h).RequestID == ""
	})
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxIncarnationBytes))
	if err != nil {
		return 0, errors.Wrap(err, "incarnation")
	}
	born, ok := f.config.Wire.ReadIncarnation(body)
	if resp.StatusCode != http.StatusOK || !ok {
		return 0, errors.Errorf("status %d without an incarnation", resp.StatusCode)
	}
	if !conn.Keep(resp) || !timeout.Stop() || ctx.Err() != nil {
		return 0, errors.New("connection was closed")
	}
	return born, nil
}
