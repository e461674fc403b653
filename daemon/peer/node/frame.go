package node

import (
	"bufio"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"primrosespoke.dev/daemon/peer/node/nodepb"
)

const (
	maxFrameBytes = 1 << 20 // size of an encoded frame
	// MaxChunkBytes is the largest number of body bytes that a writer puts into one chunk.
	MaxChunkBytes = 64 << 10
)

// FrameReader reads the frames of one answer. It is not safe for concurrent use.
type FrameReader struct {
	body   io.ReadCloser
	reader *bufio.Reader
}

func newFrameReader(body io.ReadCloser) *FrameReader {
	return &FrameReader{body: body, reader: bufio.NewReader(body)}
}

// Next returns the next frame. io.EOF before an End or Refusal frame means that the
// answer was truncated.
func (r *FrameReader) Next() (*nodepb.Frame, error) {
	frame := &nodepb.Frame{}
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	if err := options.UnmarshalFrom(r.reader, frame); err != nil {
		if err == io.EOF {
			return nil, io.EOF
		}
		return nil, errors.Wrap(err, "read frame")
	}
	return frame, nil
}

// Close stops reading. The agent of a dispatch sees from it that the entry has gone.
func (r *FrameReader) Close() error {
	return r.body.Close()
}

// FrameWriter writes the frames of one answer and flushes after each. It is not safe
// for concurrent use.
type FrameWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
}

// NewFrameWriter sends the response header and returns a writer of frames.
func NewFrameWriter(w http.ResponseWriter) *FrameWriter {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(http.StatusOK)
	return &FrameWriter{w: w, controller: http.NewResponseController(w)}
}

// Write sends one frame. An error means that the reader of the answer has gone.
func (w *FrameWriter) Write(frame *nodepb.Frame) error {
	if _, err := protodelim.MarshalTo(w.w, frame); err != nil {
		return errors.Wrap(err, "write frame")
	}
	return errors.Wrap(w.controller.Flush(), "flush frame")
}
