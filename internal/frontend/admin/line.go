package admin

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// workCall begins the one call that may be long: a plan names boxes.
const workCall = "WORK "

var (
	errLong = errors.New("the line is longer than")
	errHalf = errors.New("the line has no end")
)

// readLine reads up to the first line feed; what comes behind it is not read.
func readLine(r io.Reader) (string, error) {
	b := make([]byte, mostLine)
	for n := 0; n < len(b); {
		k, err := r.Read(b[n:])
		if end := bytes.IndexByte(b[n:n+k], '\n'); end >= 0 {
			return string(bytes.TrimSuffix(b[:n+end], []byte{'\r'})), nil
		}
		if n += k; n == mostLine && len(b) == mostLine && bytes.EqualFold(b[:len(workCall)], []byte(workCall)) {
			b = append(b, make([]byte, MaxMaintenanceLine-mostLine)...)
		}
		switch {
		case errors.Is(err, io.EOF) && n > 0:
			return "", errHalf
		case err != nil:
			return "", err
		}
	}
	return "", fmt.Errorf("%w %d bytes", errLong, len(b))
}
