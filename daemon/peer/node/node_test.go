package node_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// echoDispatch answers a dispatch with its own body in one chunk and an End frame.
func echoDispatch(w http.ResponseWriter, r *http.Request) {
	header, body, err := node.ReadDispatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	data, _ := io.ReadAll(body)
	out := node.NewFrameWriter(w)
	_ = out.Write(&nodepb.Frame{RequestId: header.RequestId, Kind: &nodepb.Frame_Chunk{Chunk: data}})
	_ = out.Write(&nodepb.Frame{RequestId: header.RequestId, Kind: &nodepb.Frame_End{End: &nodepb.End{Bytes: int64(len(data))}}})
}

func TestDispatchSendsBodyAndReadsFramesToTheEnd(t *testing.T) {
	// The body is longer than one chunk. No handler serves RunsPath, so ReadRun gets 404.
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+node.DispatchPath, echoDispatch)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- node.Serve(ctx, listener, mux) }()

	client := node.NewClient()
	body := bytes.Repeat([]byte("x"), 3*node.MaxChunkBytes)
	header := &nodepb.DispatchHeader{RequestId: "r1"}
	frames, err := client.Dispatch(ctx, listener.Addr().String(), header, bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	first, err := frames.Next()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.GetChunk()).To(Equal(body))
	second, err := frames.Next()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.GetEnd().GetBytes()).To(Equal(int64(len(body))))
	_, err = frames.Next()
	g.Expect(err).To(Equal(io.EOF))
	g.Expect(frames.Close()).To(Succeed())

	_, err = client.ReadRun(ctx, listener.Addr().String(), "r1", 1, 0)
	status := &node.StatusError{}
	g.Expect(err).To(MatchError(ContainSubstring("404")))
	g.Expect(status.Error()).NotTo(BeEmpty())

	client.Close()
	cancel()
	g.Expect(<-served).To(Succeed())
}
