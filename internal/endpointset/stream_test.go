package endpointset

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// scan feeds a stream in pieces and returns its tokens: objects by their text, heartbeats as empty strings.
func scan(pieces ...string) (tokens []string, err error) {
	var s StreamScanner
	var buf []byte
	for _, piece := range pieces {
		buf = append(buf, piece...)
		for {
			token, text, rest, err := s.Next(buf)
			if buf = rest; err != nil || token == NeedMore {
				if err != nil {
					return tokens, err
				}
				break
			}
			tokens = append(tokens, string(text))
		}
	}
	return tokens, nil
}

func TestStreamScanner(t *testing.T) {
	for stream, want := range map[string][]string{
		"":                               nil,
		"\n":                             {""},
		"\r\n  \n":                       {"", ""},
		"{}":                             {"{}"},
		"{}\n":                           {"{}"},
		"{}\n\n":                         {"{}", ""},
		"{\n \"a\": [\n  {}\n ]\n}\n":    {"{\n \"a\": [\n  {}\n ]\n}"},
		"\n{\"a\":1}{\"b\":2}\n{}\n":     {"", `{"a":1}`, `{"b":2}`, "{}"},
		`{"a":"}{\"]\\"}` + "\n":         {`{"a":"}{\"]\\"}`},
		`{"name":"\\","b":"{"}` + "\n\n": {`{"name":"\\","b":"{"}`, ""},
	} {
		got, err := scan(stream)
		require.NoError(t, err, "%q", stream)
		assert.Equal(t, want, got, "%q", stream)
	}
	for _, stream := range []string{"x", "[]", "{}x", "\n null"} {
		_, err := scan(stream)
		assert.ErrorIs(t, err, ErrNotObject, "%q", stream)
	}
}

// The tokens of a stream do not depend on how it is split into pieces.
func TestStreamScannerIsIndependentOfPieces(t *testing.T) {
	const stream = "\n{\n  \"index\": 3,\n\n  \"endpoints\": [ {\"name\": \"a}\\\"{\"} ]\n}\r\n\n{\"index\":4}\n\n"
	want, err := scan(stream)
	require.NoError(t, err)
	require.Len(t, want, 5)
	rapid.Check(t, func(t *rapid.T) {
		var pieces []string
		for remaining := stream; remaining != ""; {
			n := rapid.IntRange(1, len(remaining)).Draw(t, "bytes")
			pieces, remaining = append(pieces, remaining[:n]), remaining[n:]
		}
		got, err := scan(pieces...)
		require.NoError(t, err)
		assert.Equal(t, want, got)
	})
}
