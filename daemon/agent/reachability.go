package agent

import (
	"context"
	"net"
	"net/url"
	"time"

	"primrosespoke.dev/coord/endpoint"
)

const (
	probeInterval = 200 * time.Millisecond
	probeTimeout  = time.Second
)

// markUnreachable stops granting when no connection to the endpoint could be made,
// and probes the endpoint until it accepts connections.
func (c *control) markUnreachable() {
	if c.machine.Status().Unreachable {
		return
	}
	c.cfg.Log.Warn().Str("endpoint", c.cfg.EndpointURL).Msg("endpoint_unreachable")
	c.step(endpoint.SetReachable{Reachable: false})
	go c.probe(c.ctx)
}

// probe tries to connect to the endpoint until it succeeds or ctx ends.
func (c *control) probe(ctx context.Context) {
	target, err := url.Parse(c.cfg.EndpointURL)
	if err != nil {
		return
	}
	dialer := net.Dialer{Timeout: probeTimeout}
	for ctx.Err() == nil {
		sleep(ctx, probeInterval)
		connection, err := dialer.DialContext(ctx, "tcp", target.Host)
		if err == nil {
			connection.Close()
			c.post(reachableMessage{})
			return
		}
	}
}

// reachableMessage reports that the endpoint accepts connections again.
type reachableMessage struct{}

func (reachableMessage) apply(c *control) {
	c.cfg.Log.Info().Str("endpoint", c.cfg.EndpointURL).Msg("endpoint_reachable")
	c.step(endpoint.SetReachable{Reachable: true})
}
