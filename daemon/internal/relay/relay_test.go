package relay

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestRelayForwardsStallsDropsAndResetsBytesPerDirection(t *testing.T) {
	g := NewWithT(t)
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer echo.Close()
	received := make(chan string, 16)
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				in := bufio.NewReader(c)
				for {
					line, err := in.ReadString('\n')
					if err != nil {
						c.Close()
						return
					}
					received <- line
					io.WriteString(c, line)
				}
			}()
		}
	}()
	r, err := New(echo.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer r.Close()
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", r.Address())
		g.Expect(err).NotTo(HaveOccurred())
		return c, bufio.NewReader(c)
	}
	c, in := dial()
	send := func(line string) { io.WriteString(c, line) }
	send("a\n")
	g.Expect(in.ReadString('\n')).To(Equal("a\n"))
	g.Expect(r.Bytes(ToServer)).To(BeEquivalentTo(2))
	r.Stall(ToClient)
	<-received
	send("b\n")
	g.Eventually(received, "5s").Should(Receive(Equal("b\n")), "only the answer is held back")
	c.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	_, err = in.ReadString('\n')
	g.Expect(err.(net.Error).Timeout()).To(BeTrue())
	c.SetReadDeadline(time.Time{})
	r.Pass()
	g.Expect(in.ReadString('\n')).To(Equal("b\n"))
	r.Drop(ToServer)
	send("lost\n")
	g.Consistently(received, "30ms").ShouldNot(Receive())
	r.Reset()
	_, err = in.ReadString('\n')
	g.Expect(err).To(HaveOccurred())
	g.Expect(err).NotTo(Equal(io.EOF), "a reset must not look like the end of the stream")
	r.Refuse()
	// The reset may arrive before Dial returns, which then fails.
	if c, err = net.Dial("tcp", r.Address()); err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	g.Expect(err).To(HaveOccurred())
	g.Expect(err).NotTo(Equal(io.EOF))
	r.Pass()
	c, in = dial()
	send("c\n")
	g.Expect(in.ReadString('\n')).To(Equal("c\n"))
	c.(*net.TCPConn).CloseWrite()
	_, err = in.ReadString('\n')
	g.Expect(err).To(Equal(io.EOF), "the end of the stream is forwarded")
	tracked := func() int { r.mu.Lock(); defer r.mu.Unlock(); return len(r.conns) }
	g.Eventually(tracked, "5s").Should(BeZero(), "the pair that ended is no longer tracked")
	r.Stall()
	c, in = dial()
	send("d\n")
	g.Eventually(tracked, "5s").Should(Equal(2), "the new pair is tracked")
	r.Reset()
	_, err = in.ReadString('\n')
	g.Expect(err).To(HaveOccurred(), "a stalled connection can be reset")
}
