package virtual

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
)

// What connections end with.
var (
	errReset         = os.NewSyscallError("read", syscall.ECONNRESET)
	errBrokenPipe    = os.NewSyscallError("write", syscall.EPIPE)
	errRefused       = os.NewSyscallError("connect", syscall.ECONNREFUSED)
	errTooManyFiles  = os.NewSyscallError("socket", syscall.EMFILE)
	errTimeout       = os.NewSyscallError("connect", syscall.ETIMEDOUT)
	errDialCancelled = errors.New("dial given up")
	errEOF           = fmt.Errorf("read: %w", io.EOF)
)

// errInUse is the error of Run where another process listens at an address.
var errAddressInUse = errors.New("address already in use")
