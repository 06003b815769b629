package virtual

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
)

// The errors of Handler.Closed, Write and dials. Network errors wrap the same system call errors as those of real sockets, so that errors.Is
// works alike.
var (
	errReset         = os.NewSyscallError("read", syscall.ECONNRESET)
	errBrokenPipe    = os.NewSyscallError("write", syscall.EPIPE)
	errRefused       = os.NewSyscallError("connect", syscall.ECONNREFUSED)
	errTooManyFiles  = os.NewSyscallError("socket", syscall.EMFILE)
	errTimeout       = os.NewSyscallError("connect", syscall.ETIMEDOUT)
	errDialCancelled = errors.New("dial given up")
	errEOF           = fmt.Errorf("read: %w", io.EOF)
)

// errAddressInUse is returned by Run and Listen if another process listens at the address.
var errAddressInUse = errors.New("address already in use")
