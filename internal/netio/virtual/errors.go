package virtual

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
)

// The errors of Handler.Closed, Write and dials. Those of the network are the system calls' own, so that a program can tell them apart by
// errors.Is as with real sockets.
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
