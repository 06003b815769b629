package control

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the shutdown of a control process", func() {
	It("succeeds even if a connection is open on which nothing was sent", func() {
		listener, err := listenTCP("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		opened := make(chan struct{}, 1)
		server := &http.Server{ReadHeaderTimeout: headerTimeout, ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				opened <- struct{}{}
			}
		}}
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(listener) }()
		idleConn, err := net.Dial("tcp4", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = idleConn.Close() }()
		Eventually(opened).Should(Receive())
		Expect(shutdown([]*http.Server{server}, 10*time.Millisecond)).To(Succeed())
		Expect(<-ended).To(MatchError(http.ErrServerClosed))
		_, err = idleConn.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred(), "the connection is closed")
	})
})
