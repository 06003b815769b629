package capture

import (
	"bytes"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// writeAtOnce bounds one write of a dump, but for a line that is longer.
	writeAtOnce = 4 << 10
	// lookEvery is the time between two looks whether a reader has made room.
	lookEvery = 2 * time.Millisecond
)

// Write writes a dump in pieces of whole lines, so that lines of a log can come between them. Danger: whoever writes to
// the same file waits for the piece that is being written, and what fills a pipe that nobody reads stops the next line
// of the log, and with it the event loop. Half of a pipe or socket is left to others.
func WriteDump(f *os.File, dump []byte) error {
	for len(dump) > 0 {
		n := min(len(dump), writeAtOnce)
		if i := bytes.LastIndexByte(dump[:n], '\n'); i >= 0 {
			n = i + 1
		} else if i := bytes.IndexByte(dump[n:], '\n'); i >= 0 {
			n += i + 1
		}
		for !room(f, n) {
			time.Sleep(lookEvery)
		}
		if _, err := f.Write(dump[:n]); err != nil {
			return err
		}
		dump = dump[n:]
	}
	return nil
}

// room tells whether n bytes leave half of a pipe or socket to others; what is neither has room. A line that is longer
// than that waits until all is read.
func room(f *os.File, n int) bool {
	fd := f.Fd()
	ask := uint(unix.TIOCINQ)
	size, err := unix.FcntlInt(fd, unix.F_GETPIPE_SZ, 0)
	if err != nil {
		ask = unix.TIOCOUTQ
		if size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF); err != nil {
			return true
		}
	}
	unread, err := unix.IoctlGetInt(int(fd), ask)
	return err != nil || unread == 0 || unread+n <= size/2
}
