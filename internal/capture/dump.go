package capture

import (
	"bytes"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxWriteBytes bounds a single write of a dump, unless a line is longer.
	maxWriteBytes = 4 << 10
	// pollInterval is the interval at which a full pipe or socket is polled for room.
	pollInterval = 2 * time.Millisecond
)

// WriteDump writes a dump in parts that consist of complete lines, so that other writers can add log lines to the same file in
// between. It blocks until all is written and must not be called by the event loop.
//
// Danger: other writers wait for a write in progress, and a full pipe that nobody reads would block the next log line and with it the
// event loop. WriteDump therefore leaves half of a pipe or socket buffer free.
func WriteDump(f *os.File, dump []byte) error {
	for len(dump) > 0 {
		n := min(len(dump), maxWriteBytes)
		if i := bytes.LastIndexByte(dump[:n], '\n'); i >= 0 {
			n = i + 1
		} else if i := bytes.IndexByte(dump[n:], '\n'); i >= 0 {
			n += i + 1
		}
		for !leavesRoom(f, n) {
			time.Sleep(pollInterval)
		}
		if _, err := f.Write(dump[:n]); err != nil {
			return err
		}
		dump = dump[n:]
	}
	return nil
}

// leavesRoom returns whether half of the buffer of a pipe or socket stays free after n more bytes. A line that is longer than half
// of the buffer waits until it is empty. Other files always have room.
func leavesRoom(f *os.File, n int) bool {
	fd := f.Fd()
	unreadRequest := uint(unix.TIOCINQ)
	size, err := unix.FcntlInt(fd, unix.F_GETPIPE_SZ, 0)
	if err != nil {
		unreadRequest = unix.TIOCOUTQ
		size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF)
		if err != nil {
			return true
		}
	}
	unread, err := unix.IoctlGetInt(int(fd), unreadRequest)
	return err != nil || unread == 0 || unread+n <= size/2
}
