package capture

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"unicode/utf8"

	"hazelwheel/policy"
)

// maxLabelBytes limits the recorded length of names and texts, some of which clients choose.
const maxLabelBytes = 128

// appendHead appends the beginning of a line, with the time in milliseconds for human readers.
func appendHead(dst []byte, now float64, kind lineKind) []byte {
	dst = append(dst, linePrefix...)
	dst = appendInt(dst, int64(now*1000))
	dst = append(dst, `,"k":"`...)
	dst = append(dst, kind...)
	return append(dst, '"')
}

// appendInput appends the beginning of an input's line, with the exact time that policy is given.
func appendInput(dst []byte, now float64, kind lineKind) []byte {
	return appendFloat(append(appendHead(dst, now, kind), `,"at":`...), now)
}

func appendInt(dst []byte, v int64) []byte { return strconv.AppendInt(dst, v, 10) }

// appendFloat appends a number so that reading it gives the same bits. Numbers that JSON does not have are strings.
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

// appendBool appends a boolean field if it is true; readers take an absent one as false.
func appendBool(dst []byte, name string, v bool) []byte {
	if !v {
		return dst
	}
	dst = append(dst, `,"`...)
	dst = append(dst, name...)
	return append(dst, `":true`...)
}

// truncateLabel cuts a name to maxLabelBytes, between runes.
func truncateLabel(s string) string {
	if len(s) <= maxLabelBytes {
		return s
	}
	n := maxLabelBytes
	for n > 0 && !utf8.RuneStart(s[n]) {
		n--
	}
	return s[:n]
}

// appendString appends a string as JSON. Invalid UTF-8 becomes U+FFFD.
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

// appendHost appends an entry of an endpoint list, in the form that hostEntry decodes.
func appendHost(dst []byte, h policy.HostInfo, name string) []byte {
	dst = appendInt(append(dst, `{"id":`...), int64(h.ID))
	dst = appendString(append(dst, `,"name":`...), truncateLabel(name))
	dst = appendInt(append(dst, `,"zone":`...), int64(h.Zone))
	dst = appendInt(append(dst, `,"kind":`...), int64(h.Kind))
	dst = appendInt(append(dst, `,"cell":`...), int64(h.Cell))
	dst = appendInt(append(dst, `,"state":`...), int64(h.State))
	dst = appendFloat(append(dst, `,"size":`...), h.Size)
	return append(appendFloat(append(dst, `,"since":`...), h.Started), '}')
}

// appendLabel appends the label of a request.
func appendLabel(dst []byte, l Label) []byte {
	dst = appendString(append(dst, `,"id":`...), truncateLabel(l.ID))
	return appendString(append(dst, `,"class":`...), truncateLabel(l.Class))
}

// number is a float as appendFloat writes it.
type number float64

// UnmarshalJSON reads a number or a string that holds one.
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
