package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// readEvents reads a stream to its end or to an error. The last event is what was left at the end of the stream, if anything was.
func readEvents(in io.Reader) (events []string, err error) {
	reader := bufio.NewReaderSize(in, eventBufferSize)
	for {
		event, err := readEvent(reader)
		if err == nil || errors.Is(err, io.EOF) && len(event) > 0 {
			events = append(events, string(event))
		}
		if err != nil {
			return events, err
		}
	}
}

// splitEvents is readEvents for a complete text, in the simplest form.
func splitEvents(text string) (events []string) {
	event := ""
	for _, line := range strings.SplitAfter(text, "\n") {
		if event += line; line == "\n" || line == "\r\n" {
			events = append(events, event)
			event = ""
		}
	}
	if event != "" {
		events = append(events, event)
	}
	return events
}

// streamWithLine returns a stream of three events; the second one has a line of this length, without its end.
func streamWithLine(length int, lineEnd string) string {
	line := "data: " + strings.Repeat("x", max(length-len("data: "), 0))
	return strings.ReplaceAll(fmt.Sprintf("id: 1\ndata: a\n\nid: 2\n%s\ndata: end of 2\n\nid: 3\ndata: c\n\n", line[:length]), "\n", lineEnd)
}

// TestEventsWithLongLines guards against a stream that loses a part of an event and ends as complete: the end of a line that filled the buffer was
// taken for the empty line that ends an event, so the stream was resumed after an event of which the client had only a part.
func TestEventsWithLongLines(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n"} {
		for _, buffers := range []int{1, 2, 3} {
			for length := buffers*eventBufferSize - 40; length <= buffers*eventBufferSize+3; length++ {
				text := streamWithLine(length, lineEnd)
				events, err := readEvents(strings.NewReader(text))
				require.ErrorIs(t, err, io.EOF)
				require.Equal(t, splitEvents(text), events, "a line of %d bytes, ends of lines %q", length, lineEnd)
				require.Len(t, events, 3)
			}
		}
	}
}

// TestStreamCutAnywhere guards against a part of an event that is passed on as a complete one, wherever the server breaks off.
func TestStreamCutAnywhere(t *testing.T) {
	errBrokenOff := errors.New("the server breaks off")
	text := streamWithLine(eventBufferSize, "\n")
	want := splitEvents(text)
	for offset := range len(text) {
		events, err := readEvents(io.MultiReader(strings.NewReader(text[:offset]), iotest.ErrReader(errBrokenOff)))
		require.ErrorIs(t, err, errBrokenOff)
		require.LessOrEqual(t, len(events), len(want))
		for i, event := range events {
			require.Equal(t, want[i], event, "cut at %d", offset)
		}
		assembled, err := readEvents(io.MultiReader(strings.NewReader(text[:offset]), strings.NewReader(text[offset:])))
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, want, assembled, "in two pieces, cut at %d", offset)
	}
	bytewise, err := readEvents(iotest.OneByteReader(strings.NewReader(text)))
	require.ErrorIs(t, err, io.EOF)
	assert.Equal(t, want, bytewise)
}

// FuzzReadEvent compares the reader with a simple one. The stream is repeated so that lines are longer than the buffer.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"), uint16(1))
	f.Add([]byte("x"), uint16(eventBufferSize))
	f.Add([]byte("x\n"), uint16(2*eventBufferSize))
	f.Add([]byte("\r\n\r"), uint16(9))
	f.Fuzz(func(t *testing.T, piece []byte, repeats uint16) {
		text := bytes.Repeat(piece[:min(len(piece), 64)], int(repeats)%(3*eventBufferSize))
		for _, tail := range []string{"", "\n\nid: 2\n\n", "\r\n\r\nx"} {
			events, err := readEvents(strings.NewReader(string(text) + tail))
			require.ErrorIs(t, err, io.EOF)
			require.Equal(t, splitEvents(string(text)+tail), events)
		}
	})
}
