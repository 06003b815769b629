package apikey

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// HeaderName is the header field in which clients send their keys.
const HeaderName = "Authorization"

// Scheme is the authentication scheme of HeaderName, as in "Token KEY". Its case doesn't matter.
const Scheme = "Token"

// redacted is shown in place of a key.
const redacted = "[redacted]"

// Errors of FromHeader. Their texts hold nothing that the client has sent.
var (
	ErrMissing   = errors.New("the request has no field " + HeaderName)
	ErrMalformed = errors.New("want one field " + HeaderName + ` of the form "` + Scheme + ` KEY"`)
)

// Key is an API key. The zero value is no key.
//
// The text is behind a pointer, since package fmt doesn't call the methods of unexported fields: a struct that holds a key shows an address.
type Key struct{ text *string }

// New returns the key with this text.
func New(text string) Key { return Key{&text} }

// IsZero reports whether there is no key.
func (k Key) IsZero() bool { return k.text == nil }

// Format writes a placeholder whatever the verb: neither a log line nor an error shows a key.
func (k Key) Format(state fmt.State, _ rune) { fmt.Fprint(state, redacted) }

// MarshalText returns a placeholder, so that encoders show no key.
func (k Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// FromHeader returns the key of a request, or why there is none: ErrMissing or ErrMalformed. Two fields are malformed, since it would depend on
// the reader which of them counts.
func FromHeader(header http.Header) (Key, error) {
	values := header.Values(HeaderName)
	if len(values) == 0 {
		return Key{}, ErrMissing
	}
	scheme, text, found := strings.Cut(values[0], " ")
	text = strings.Trim(text, " ")
	if len(values) > 1 || !found || !strings.EqualFold(scheme, Scheme) || text == "" || strings.ContainsAny(text, " \t") {
		return Key{}, ErrMalformed
	}
	return New(text), nil
}

// HasScheme reports whether a field of a request holds a key, or what a client has sent in place of one.
func HasScheme(header http.Header) bool {
	for _, value := range header.Values(HeaderName) {
		scheme, _, _ := strings.Cut(value, " ")
		if strings.EqualFold(scheme, Scheme) {
			return true
		}
	}
	return false
}
