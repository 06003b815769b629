package appconfig

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/invopop/jsonschema"
)

// Duration is a time span, written with units: "600ms", "12s", "1min30s".
type Duration time.Duration

// Size is a number of bytes, written with a unit: "64KiB", "192MiB".
type Size int64

// S returns a time span in seconds.
func (d Duration) S() float64 { return float64(d) / 1e9 }

// Seconds converts seconds to a Duration, rounded to nanoseconds.
func Seconds(s float64) Duration {
	return Duration(math.Round(min(max(s*1e9, math.MinInt64), math.MaxInt64/2)))
}

var durationUnits = []struct {
	name string
	ns   int64
}{{"d", 24 * 3600e9}, {"h", 3600e9}, {"min", 60e9}, {"s", 1e9}, {"ms", 1e6}, {"us", 1e3}, {"ns", 1}}

var sizeUnits = []struct {
	name  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// String returns the time span in the largest unit that divides it.
func (d Duration) String() string {
	for _, u := range durationUnits {
		if int64(d)%u.ns == 0 && d != 0 {
			return strconv.FormatInt(int64(d)/u.ns, 10) + u.name
		}
	}
	return "0s"
}

// String returns the size in the largest unit that divides it.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if int64(s)%u.bytes == 0 && s != 0 {
			return strconv.FormatInt(int64(s)/u.bytes, 10) + u.name
		}
	}
	return "0B"
}

// MarshalText implements encoding.TextMarshaler, so that TOML has the unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// MarshalText implements encoding.TextMarshaler, so that TOML has the unit.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// JSONSchema describes the notation of a time span to editors.
func (Duration) JSONSchema() *jsonschema.Schema {
	return &jsonschema.Schema{Type: "string", Pattern: `^(\d+(\.\d+)?(d|h|min|s|ms|us|ns))+$`, Examples: []any{"600ms", "12s"}}
}

// JSONSchema describes the notation of a size to editors.
func (Size) JSONSchema() *jsonschema.Schema {
	return &jsonschema.Schema{Type: "string", Pattern: `^\d+(\.\d+)?(B|KiB|MiB|GiB)$`, Examples: []any{"64KiB", "192MiB"}}
}

// unitError is an invalid unit, with a suggestion of what may be meant. huge means that the number is out of range instead.
type unitError struct {
	unit, meant string
	huge        bool
}

// parseDuration parses a time span. The units m and u are rejected, as is a missing unit: "480m" means milliseconds in a
// request's header and minutes elsewhere.
func parseDuration(s string) (Duration, *unitError) {
	rest, negative := strings.CutPrefix(s, "-")
	total := 0.0
	var exact int64
	isExact := true
	for first := true; rest != "" || first; first = false {
		digits := rest[:len(rest)-len(strings.TrimLeft(rest, "0123456789."))]
		after := strings.TrimLeft(rest[len(digits):], " ")
		spaced := len(after)+len(digits) < len(rest)
		rest = after
		unit := rest[:len(rest)-len(strings.TrimLeft(rest, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZµμ"))]
		rest = rest[len(unit):]
		number, err := strconv.ParseFloat(digits, 64)
		if err != nil {
			return 0, &unitError{unit: s, meant: `"600ms"`, huge: strings.Trim(digits, "0123456789") == "" && digits != ""}
		}
		ns := int64(0)
		for _, u := range durationUnits {
			if u.name == unit {
				ns = u.ns
			}
		}
		if ns == 0 {
			return 0, &unitError{unit: unit, meant: meantDuration(digits, unit)}
		}
		if spaced {
			return 0, &unitError{unit: s, meant: strconv.Quote(digits + unit)}
		}
		total += number * float64(ns)
		if integral, err := strconv.ParseInt(digits, 10, 64); err == nil && integral < math.MaxInt64/2/ns {
			exact += integral * ns
		} else {
			isExact = false
		}
	}
	if total > 1e18 {
		return 0, &unitError{unit: s, huge: true}
	}
	d := Duration(exact)
	if !isExact {
		d = Duration(math.Round(total))
	}
	if negative {
		d = -d
	}
	return d, nil
}

func meantDuration(digits, unit string) string {
	switch strings.ToLower(unit) {
	case "":
		return fmt.Sprintf("%q or %q", digits+"ms", digits+"s")
	case "m":
		return fmt.Sprintf("%q (on the wire m is milliseconds) or %q", digits+"ms", digits+"min")
	case "u", "µs", "μs", "usec":
		return fmt.Sprintf("%q", digits+"us")
	case "msec", "millis", "milliseconds":
		return fmt.Sprintf("%q", digits+"ms")
	case "sec", "secs", "second", "seconds":
		return fmt.Sprintf("%q", digits+"s")
	case "mins", "minute", "minutes":
		return fmt.Sprintf("%q", digits+"min")
	case "hours", "hour", "hr":
		return fmt.Sprintf("%q", digits+"h")
	}
	return "a number with ms, s, min, h or d behind it"
}

// parseSize parses a size.
func parseSize(s string) (Size, *unitError) {
	digits := s[:len(s)-len(strings.TrimLeft(s, "-0123456789."))]
	unit := strings.TrimSpace(s[len(digits):])
	number, err := strconv.ParseFloat(digits, 64)
	if err != nil {
		return 0, &unitError{unit: s, meant: `"64KiB"`}
	}
	for _, u := range sizeUnits {
		if u.name != unit {
			continue
		}
		if integral, err := strconv.ParseInt(digits, 10, 64); err == nil && integral < math.MaxInt64/u.bytes && integral > math.MinInt64/u.bytes {
			return Size(integral * u.bytes), nil
		}
		if bytes := number * float64(u.bytes); math.Abs(bytes) < 1<<62 {
			return Size(bytes), nil
		}
		return 0, &unitError{unit: s, huge: true}
	}
	meant := "a number with B, KiB, MiB or GiB behind it"
	switch prefix := strings.ToUpper(strings.TrimSuffix(strings.TrimSuffix(strings.ToUpper(unit), "B"), "I")); prefix {
	case "K", "M", "G":
		meant = fmt.Sprintf("%q", digits+prefix+"iB")
	case "":
		meant = fmt.Sprintf("%q or %q", digits+"B", digits+"KiB")
	}
	return 0, &unitError{unit: unit, meant: meant}
}
