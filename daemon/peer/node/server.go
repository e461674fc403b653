package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"primrosespoke.dev/daemon/peer/node/nodepb"
)

const (
	maxHeaderBytes          = 256 << 10 // size of an encoded DispatchHeader
	readHeaderTimeout       = 5 * time.Second
	shutdownTimeout         = 5 * time.Second
	maxStreamsPerConnection = 10_000 // concurrent calls; each waiting reservation is one
)

// ReadDispatch reads the header of a dispatch and returns it with a reader of the body.
func ReadDispatch(r *http.Request) (*nodepb.DispatchHeader, io.Reader, error) {
	body := bufio.NewReader(r.Body)
	header := &nodepb.DispatchHeader{}
	options := protodelim.UnmarshalOptions{MaxSize: maxHeaderBytes}
	if err := options.UnmarshalFrom(body, header); err != nil {
		return nil, nil, errors.Wrap(err, "read dispatch header")
	}
	return header, body, nil
}

// Serve serves the internal protocol on a listener until ctx ends, and then waits up
// to shutdownTimeout for calls in progress. The caller drains before it ends ctx.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreamsPerConnection},
	}
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(listener) }()
	select {
	case err := <-stopped:
		return errors.Wrap(err, "serve internal protocol")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return errors.Wrap(server.Close(), "close server of internal protocol")
	}
	return nil
}
