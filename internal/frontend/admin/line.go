package admin

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// MaxMaintenanceLine limits the line of the command WORK, which contains a maintenance plan, and maxLine limits all other lines. Both are in
// bytes and include the line feed.
const (
	MaxMaintenanceLine = 32 << 10
	maxLine            = 512
)

// maintenancePrefix starts a line that may be longer than maxLine.
const maintenancePrefix = "WORK "

var (
	errLineTooLong    = errors.New("the line is longer than")
	errLineIncomplete = errors.New("the line has no end")
)

// readLine reads a line; bytes after its line feed are ignored. The error wraps errLineTooLong or errLineIncomplete, or is the
// reader's.
func readLine(r io.Reader) (string, error) {
	b := make([]byte, maxLine)
	for n := 0; n < len(b); {
		k, err := r.Read(b[n:])
		if end := bytes.IndexByte(b[n:n+k], '\n'); end >= 0 {
			return string(bytes.TrimSuffix(b[:n+end], []byte{'\r'})), nil
		}
		if n += k; n == maxLine && len(b) == maxLine && bytes.EqualFold(b[:len(maintenancePrefix)], []byte(maintenancePrefix)) {
			b = append(b, make([]byte, MaxMaintenanceLine-maxLine)...)
		}
		switch {
		case errors.Is(err, io.EOF) && n > 0:
			return "", errLineIncomplete
		case err != nil:
			return "", err
		}
	}
	return "", fmt.Errorf("%w %d bytes", errLineTooLong, len(b))
}
