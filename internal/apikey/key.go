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

// Errors of FromHeader. Their texts contain nothing that the client has sent.
var (
	ErrMissing   = errors.New("the request has no field " + HeaderName)
	ErrMalformed = errors.New("want one field " + HeaderName + ` of the form "` + Scheme + ` KEY"`)
)

// Key is an API key. The zero value means that there is none.
//
// The text is behind a pointer, since package fmt doesn't call methods of unexported fields. A struct with a key in such a field then prints an
// address.
type Key struct{ text *string }

// New returns the key with this text.
func New(text string) Key { return Key{&text} }

// IsZero reports whether there is no key.
func (k Key) IsZero() bool { return k.text == nil }

// Format writes a placeholder whatever the verb: neither a log line nor an error shows a key.
func (k Key) Format(state fmt.State, _ rune) { fmt.Fprint(state, redacted) }

// MarshalText returns a placeholder, so that encoders show no key.
func (k Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// FromHeader returns the key of a request, or ErrMissing or ErrMalformed if there is none. Two header fields are malformed, since readers could
// disagree on which one counts.
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

// HasScheme reports whether a header field of a request has the scheme of keys, even if its key is malformed.
func HasScheme(header http.Header) bool {
	for _, value := range header.Values(HeaderName) {
		scheme, _, _ := strings.Cut(value, " ")
		if strings.EqualFold(scheme, Scheme) {
			return true
		}
	}
	return false
}
