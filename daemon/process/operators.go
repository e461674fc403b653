package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// operatorHeaderTimeout bounds the time to read the headers of a request.
	operatorHeaderTimeout = 5 * time.Second
	// operatorShutdownTimeout bounds the wait for open requests; after it, connections are closed.
	operatorShutdownTimeout = 2 * time.Second
)

// serveOperators serves handler on the operators' listener until ctx ends.
func serveOperators(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: operatorHeaderTimeout}
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(listener) }()
	select {
	case err := <-stopped:
		return errors.Wrap(err, "serve operators' listener")
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(context.Background(), operatorShutdownTimeout)
	defer cancel()
	if server.Shutdown(limit) != nil {
		server.Close()
	}
	return nil
}
