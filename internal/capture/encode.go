package capture

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"unicode/utf8"

	"hazelwheel/policy"
)

// mostLabel bounds what is kept of a name that comes from outside.
const mostLabel = 128

// appendHead begins a line with its time in milliseconds.
func appendHead(dst []byte, now float64, kind string) []byte {
	dst = appendInt(append(dst, lineStart...), int64(now*1000))
	return append(append(append(dst, `,"k":"`...), kind...), '"')
}

// appendInput begins the line of an input, with the exact time that the decisions are told.
func appendInput(dst []byte, now float64, kind string) []byte {
	return appendFloat(append(appendHead(dst, now, kind), `,"at":`...), now)
}

func appendInt(dst []byte, v int64) []byte { return strconv.AppendInt(dst, v, 10) }

// appendFloat writes a number so that reading it gives the same bits. What JSON has no number for is a string.
func appendFloat(dst []byte, v float64) []byte {
	switch {
	case math.IsNaN(v):
		return append(dst, `"NaN"`...)
	case math.IsInf(v, 0):
		return append(strconv.AppendFloat(append(dst, '"'), v, 'g', -1, 64), '"')
	case math.Abs(v) < 1e-6 || math.Abs(v) >= 1e15:
		return strconv.AppendFloat(dst, v, 'g', -1, 64)
	}
	return strconv.AppendFloat(dst, v, 'f', -1, 64)
}

func appendBool(dst []byte, name string, v bool) []byte {
	if v {
		dst = append(append(append(dst, `,"`...), name...), `":true`...)
	}
	return dst
}

// label cuts what is kept of a name, at the end of a rune.
func label(s string) string {
	if len(s) <= mostLabel {
		return s
	}
	n := mostLabel
	for n > 0 && !utf8.RuneStart(s[n]) {
		n--
	}
	return s[:n]
}

// appendString writes a string as JSON; bytes that are no text become U+FFFD.
func appendString(dst []byte, s string) []byte {
	dst = append(dst, '"')
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			dst = append(dst, '\\', byte(r))
		case r < ' ' || r == 0x7f:
			const hex = "0123456789abcdef"
			dst = append(dst, '\\', 'u', '0', '0', hex[r>>4], hex[r&15])
		default:
			dst = utf8.AppendRune(dst, r)
		}
	}
	return append(dst, '"')
}

func appendHost(dst []byte, h policy.HostInfo, name string) []byte {
	dst = appendInt(append(dst, `{"id":`...), int64(h.ID))
	dst = appendString(append(dst, `,"name":`...), label(name))
	dst = appendInt(append(dst, `,"zone":`...), int64(h.Zone))
	dst = appendInt(append(dst, `,"kind":`...), int64(h.Kind))
	dst = appendInt(append(dst, `,"cell":`...), int64(h.Cell))
	dst = appendInt(append(dst, `,"state":`...), int64(h.State))
	dst = appendFloat(append(dst, `,"size":`...), h.Size)
	return append(appendFloat(append(dst, `,"since":`...), h.Started), '}')
}

// number is a float as appendFloat writes it.
type number float64

func (n *number) UnmarshalJSON(raw []byte) error {
	text := string(raw)
	if text[0] == '"' {
		if err := json.Unmarshal(raw, &text); err != nil {
			return err
		}
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	*n = number(v)
	return nil
}
