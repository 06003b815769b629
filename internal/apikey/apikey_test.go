package apikey_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/apikey"
)

func TestFromHeader(t *testing.T) {
	for name, c := range map[string]struct {
		values []string
		want   apikey.Key
		err    error
	}{
		"none":             {nil, apikey.Key{}, apikey.ErrMissing},
		"a key":            {[]string{"Token k1"}, apikey.New("k1"), nil},
		"scheme's case":    {[]string{"tOKEN k1"}, apikey.New("k1"), nil},
		"more spaces":      {[]string{"Token   k1 "}, apikey.New("k1"), nil},
		"another scheme":   {[]string{"Bearer k1"}, apikey.Key{}, apikey.ErrMalformed},
		"no scheme":        {[]string{"k1"}, apikey.Key{}, apikey.ErrMalformed},
		"no key":           {[]string{"Token "}, apikey.Key{}, apikey.ErrMalformed},
		"two keys":         {[]string{"Token k1 k2"}, apikey.Key{}, apikey.ErrMalformed},
		"a tab for spaces": {[]string{"Token\tk1"}, apikey.Key{}, apikey.ErrMalformed},
		"two fields":       {[]string{"Token k1", "Token k1"}, apikey.Key{}, apikey.ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			key, err := apikey.FromHeader(http.Header{apikey.HeaderName: c.values})
			assert.Equal(t, c.want, key)
			assert.Equal(t, c.err, err)
		})
	}
}

func TestDigestsDependOnKeyAndSecret(t *testing.T) {
	one, two := apikey.NewSecret([]byte("document 1")), apikey.NewSecret([]byte("document 2"))
	digester := one.NewDigester()
	digest := digester.Digest(apikey.New("k1"))
	assert.NotEqual(t, digest, digester.Digest(apikey.New("k2")))
	assert.Equal(t, digest, digester.Digest(apikey.New("k1")), "an earlier key has no effect")
	assert.NotEqual(t, digest, two.NewDigester().Digest(apikey.New("k1")))
}

// TestKeysAreNotShown formats, logs and encodes a key in all ways that the program uses. None may show its text.
func TestKeysAreNotShown(t *testing.T) {
	key := apikey.New("secret-text")
	var shown []string
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
		shown = append(shown, fmt.Sprintf(verb, key), fmt.Sprintf(verb, struct{ Key apikey.Key }{key}), fmt.Sprintf(verb, &key),
			fmt.Sprintf(verb, struct{ key apikey.Key }{key}), fmt.Sprintf(verb, &struct{ key *apikey.Key }{&key}))
	}
	text, err := json.Marshal(map[string]any{"key": key})
	require.NoError(t, err)
	packed, err := msgpack.Marshal(struct{ Key apikey.Key }{key})
	require.NoError(t, err)
	line, err := logrus.NewEntry(logrus.New()).WithField("key", key).WithField("of", &key).String()
	require.NoError(t, err)
	for _, s := range append(shown, string(text), string(packed), line) {
		assert.NotContains(t, s, "secret-text")
		assert.NotContains(t, s, fmt.Sprintf("%x", "secret-text"))
	}
}
