package http1

import (
	"encoding/base64"
	"errors"
	"strings"

	"hazelwheel/internal/faultinjection"
	"hazelwheel/internal/http1"
)

// A fault is started by a POST to FaultPath followed by its name. FaultSecretField is the header field with the secret, in base64 because a
// secret may contain any bytes.
const (
	FaultPath        = "/drills/"
	FaultSecretField = "Drill-Secret"
)

// startFault answers an operator's request to start a fault.
func (c *clientConn) startFault(name string) {
	if c.parser.Method != "POST" {
		c.reject(405, "a drill is started by POST", http1.Field{Name: "Allow", Value: "POST"})
		return
	}
	secret, err := base64.StdEncoding.DecodeString(c.parser.Header.Get(FaultSecretField))
	if err != nil {
		secret = nil // invalid base64 is treated as an empty secret
	}
	fault, err := c.Sidecar().StartFault(secret, name)
	if err != nil {
		status := 404
		if errors.Is(err, faultinjection.ErrSecret) {
			status = 403
		}
		c.reject(status, err.Error())
		return
	}
	c.respond(200, http1.Header{textPlain}, []byte("drill "+fault.Name+" started\n"))
}

// faultName returns the name of a fault in a path; false: the path is not below FaultPath, or faults can't be started.
func (c *clientConn) faultName(path string) (string, bool) {
	name, ok := strings.CutPrefix(path, FaultPath)
	return name, ok && c.Sidecar().IsFaultInjectionArmed()
}
