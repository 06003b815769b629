package loopback

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A machine that vanishes right after it has accepted a connection takes none that comes later, however its accepting goroutine
// stands at that moment.
func TestNothingComesUpAtAMachineThatHasVanished(t *testing.T) {
	const (
		rounds    = 300
		comesUpBy = 10 * time.Millisecond
	)
	l, err := listen(machineIP + ":0")
	require.NoError(t, err)
	accepted := make(chan net.Conn)
	go func() {
		defer close(accepted)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr() == fillFrom {
				c.Close()
				continue
			}
			accepted <- c
		}
	}()
	t.Cleanup(func() {
		l.close()
		_, more := <-accepted
		assert.False(t, more, "nobody accepts once it is closed")
	})
	for range rounds {
		client, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		(<-accepted).Close()
		l.silence()
		late, err := net.DialTimeout("tcp", l.Addr().String(), comesUpBy)
		if !assert.Truef(t, os.IsTimeout(err), "%v", err) {
			late.Close()
		}
		l.resume()
		client.Close()
	}
}
