package soak

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// credentialHeaders are the fields of requests that concern keys and tenants.
const (
	headerAuthorization = "Authorization"
	headerTenant        = "Hazelwheel-Tenant-Id"
	keyScheme           = "Token "
)

// RequestArrived checks the header of a request that has reached a server: it holds no key, names a tenant that the client's key belongs to, and has
// the client's model and prompt.
func (c *Checker) RequestArrived(id string, header http.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, values := range header {
		if strings.Contains(strings.Join(values, " "), keyMarker) {
			c.reportViolationLocked(KeyWithheld, "%s came to a server with a key in the field %s", id, name)
		}
	}
	sent, isKnown := c.sentHeaders[id]
	if !isKnown {
		return // of another test or part of the system
	}
	for _, name := range promptHeaders {
		if !slices.Equal(header.Values(name), sent.prompt.Values(name)) {
			c.reportViolationLocked(HeaderIntact, "%s came with %s %q, not %q", id, name, header.Values(name), sent.prompt.Values(name))
		}
	}
	tenants := header.Values(headerTenant)
	switch {
	case c.hasEarlierVersions && len(tenants) == 0:
	case sent.isPublic && sent.key == "":
		if len(tenants) > 0 {
			c.reportViolationLocked(TenantOfKey, "%s came in the name of %q, without a key", id, tenants)
		}
	case len(tenants) != 1 || !c.keys.isOwner(sent.key, tenants[0]):
		c.reportViolationLocked(TenantOfKey, "%s came in the name of %q, to which its key never belonged", id, tenants)
	}
}

// promptHeaders are the fields of a client that servers run a request by.
var promptHeaders = []string{headerModel, headerTokens, headerPrefix}

// sentHeader is what a client has sent to say for whom it acts, and by what its request is run.
type sentHeader struct {
	key      string // empty: none
	isPublic bool   // the route needs no key
	prompt   http.Header
	sentAt   time.Time
}

// HeaderSent records the key and header of a request. It is called before the request is sent.
func (c *Checker) HeaderSent(id, key string, isPublic bool, header http.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentHeaders[id] = sentHeader{key, isPublic, header.Clone(), time.Now()}
}

// checkCredentials checks an outcome against the client's key, and returns whether the client is owed service. The caller holds mu.
func (c *Checker) checkCredentials(o *Outcome) (isEntitled bool) {
	sent, isKnown := c.sentHeaders[o.ID]
	if !isKnown {
		return true
	}
	if o.Status != http.StatusOK && strings.Contains(o.Body, keyMarker) {
		c.reportViolationLocked(KeyNotShown, "%s: the answer %d shows a key", o.ID, o.Status)
	}
	if sent.isPublic && sent.key == "" {
		if o.Status == http.StatusUnauthorized {
			c.reportViolationLocked(ValidKeyServed, "%s: 401 on a public route", o.ID)
		}
		return true
	}
	validity := c.keys.validity(sent.key, o.SentAt, o.EndedAt)
	hasRun := c.executions[o.ID] > 0
	switch validity {
	case keyUnknown:
		if hasRun && !c.hasEarlierVersions {
			c.reportViolationLocked(UnknownKeyRejected, "%s was executed without a key that was ever configured", o.ID)
		}
	case keyWithdrawn:
		if hasRun && !o.Disturbed && !c.hasEarlierVersions {
			c.reportViolationLocked(WithdrawnKeyRejected, "%s at %s: executed with a key that was taken away", o.ID, o.Edge)
		}
	case keyValid:
		// A key that every configuration has is never unknown: a proxy without a configuration answers 503.
		if o.Status == http.StatusUnauthorized && (!o.Disturbed || c.keys.isPermanent(sent.key)) {
			c.reportViolationLocked(ValidKeyServed, "%s at %s: 401 for a key that is configured", o.ID, o.Edge)
		}
	}
	return validity == keyValid
}

// maxKeyLength is more than the length of any key.
const maxKeyLength = 64

// keyDetector is a writer that reports a violation where a key shows in what is written, also across two writes.
type keyDetector struct {
	checker     *Checker
	destination io.Writer
	tail        []byte // the end of what was written before
}

// Write implements io.Writer.
func (d *keyDetector) Write(data []byte) (int, error) {
	text := append(d.tail, data...)
	if at := bytes.Index(text, []byte(keyMarker)); at >= 0 {
		line := text[bytes.LastIndexByte(text[:at], '\n')+1 : at]
		d.checker.ReportViolation(KeyNotShown, "the output of a process shows a key after %.200q", line)
		text = nil // each key is reported once
	}
	d.tail = bytes.Clone(text[max(len(text)-maxKeyLength, 0):])
	return d.destination.Write(data)
}
