// Package featureconfig parses the JSON file in which operators enable and configure optional features. A feature
// that the file doesn't mention is off. Each error is a single line that names the invalid field.
package featureconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"hazelwheel/internal/capture"
	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/faultinjection"
	"hazelwheel/internal/health"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/quotas"
	"hazelwheel/internal/rewrite"
	"hazelwheel/internal/sidecarconfig"
)

// Features holds the settings of all optional features; its zero value has all of them off.
type Features struct {
	Drills   faultinjection.Settings
	Rewrites rewrite.Settings
	Health   health.Settings
	Capture  capture.Settings

	Admission Admission
	Thrift    Thrift
	Quotas    quotas.Settings
	Fleet     Fleet
}

// Admission limits the connections and buffered bytes that clients may hold. Its zero value has no limits and reserves
// nothing for known clients.
type Admission struct{ admission.Settings }

// On reports whether any limit is set.
func (a *Admission) On() bool {
	return a.ReservedForKnown > 0 || a.MaxPerAddress > 0 || a.MaxBufferedBytes > 0 || len(a.PrefixLimits) > 0 || len(a.KnownPrefixes) > 0
}

// String lists the enabled features, for the log.
func (f *Features) String() string {
	var on []string
	if n := len(f.Drills.Faults); n > 0 && len(f.Drills.SecretHash) > 0 {
		on = append(on, fmt.Sprintf("drills (%d)", n))
	}
	if f.Rewrites.On() {
		on = append(on, fmt.Sprintf("rewrites (%d rules)", len(f.Rewrites.Rules)))
	}
	if f.Health.IsEnabled() {
		on = append(on, fmt.Sprintf("health (port %d)", f.Health.Port))
	}
	if f.Capture.Enabled {
		on = append(on, fmt.Sprintf("capture (%d bytes in %d segments)", f.Capture.MaxBytes, f.Capture.Segments))
	}
	if f.Admission.On() {
		on = append(on, fmt.Sprintf("admission (reserve %d, %d caps, %d known)", f.Admission.ReservedForKnown, len(f.Admission.PrefixLimits), len(f.Admission.KnownPrefixes)))
	}
	if f.Thrift.On() {
		methods := 0
		for _, c := range f.Thrift.Classes {
			methods += len(c.Methods)
		}
		on = append(on, fmt.Sprintf("thrift (%s, %d methods)", f.Thrift.Listen, methods))
	}
	if f.Quotas.IsEnabled() {
		on = append(on, fmt.Sprintf("quotas (%d groups, %d limits)", f.Quotas.Tree.Len()-1, len(f.Quotas.Tree.Limits)))
	}
	if f.Fleet.On() {
		text := fmt.Sprintf("fleet (%s, at %s, %d to join", f.Fleet.Name, f.Fleet.Listen, len(f.Fleet.Join))
		if len(f.Fleet.Voters) > 0 {
			text += fmt.Sprintf(", %d electors, jobs %v", len(f.Fleet.Voters), f.Fleet.Jobs)
		}
		on = append(on, text+")")
	}
	if len(on) == 0 {
		return "none"
	}
	return strings.Join(on, ", ")
}

// Load parses the feature file at path and validates it against the sidecar's configuration c.
func Load(path string, c *sidecarconfig.Config) (Features, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Features{}, fmt.Errorf("features: %w", err)
	}
	f, err := Parse(raw, c)
	if err != nil {
		return Features{}, fmt.Errorf("features: %w", err)
	}
	return f, nil
}

// Parse parses the text of a feature file and validates it against the sidecar's configuration c.
func Parse(raw []byte, c *sidecarconfig.Config) (f Features, err error) {
	o, err := readObject("", raw)
	if err != nil {
		return f, err
	}
	f.readDrills(o, c)
	f.readRewrites(o, c)
	f.readHealth(o, c)
	f.readCapture(o, c)
	f.readAdmission(o, c)
	f.readThrift(o, c)
	f.readQuotas(o, c)
	f.readFleet(o, c)
	return f, o.firstError()
}

// readDrills reads the faults that an operator may inject, and the hash of the secret that authorizes injecting them.
func (f *Features) readDrills(o *object, c *sidecarconfig.Config) {
	names := map[string]bool{}
	for _, e := range o.list("drills") {
		d := faultinjection.Fault{Abort: "none", DurationSeconds: 60}
		decodeField(e, "name", &d.Name, "a name of its own, of at most 64 letters, digits, '.', '_' and '-'",
			func(s string) bool { return isPlainName(s) && !names[s] })
		decodeField(e, "class", &d.Class, "a class of the settings", func(s string) bool { return hasClass(c, s) })
		decodeField(e, "share", &d.Percent, "0 to 100", func(v float64) bool { return v >= 0 && v <= 100 })
		decodeField(e, "delay_ms", &d.DelayMS, "0 to 3600000", func(v float64) bool { return v >= 0 && v <= 3.6e6 })
		decodeField(e, "abort", &d.Abort, `"none" or "503"`, func(s string) bool { return s == "none" || s == "503" })
		decodeField(e, "duration_s", &d.DurationSeconds, "more than 0, at most 86400", func(v float64) bool { return v > 0 && v <= 86400 })
		e.require("name", "class")
		names[d.Name] = true
		f.Drills.Faults = append(f.Drills.Faults, d)
	}
	var hash string
	emptySecretHash := sha256.Sum256(nil) // the hash of the empty secret, which anybody could give
	decodeField(o, "drills.secret_sha256", &hash, "the 64 hexadecimal digits of a secret's SHA-256", func(s string) bool {
		sum, err := hex.DecodeString(s)
		f.Drills.SecretHash = sum
		return err == nil && len(sum) == sha256.Size && !bytes.Equal(sum, emptySecretHash[:])
	})
}

// readRewrites reads the rules that add, drop and rename header fields.
func (f *Features) readRewrites(o *object, c *sidecarconfig.Config) {
	decodeField(o, "rewrites.forwarded", &f.Rewrites.Forwarded, "true or false", func(bool) bool { return true })
	name := func(s string) bool { return http1.IsToken(s) && rewrite.Free(s) }
	const nameRule = "the name of a header field that is neither protected nor hop-by-hop"
	for _, e := range o.list("rewrites") {
		var r rewrite.Rule
		decodeField(e, "dir", &r.Dir, `"in" or "out"`, func(s string) bool { return s == rewrite.In || s == rewrite.Out })
		decodeField(e, "op", &r.Op, `"add", "drop" or "rename"`, func(s string) bool {
			return s == rewrite.Add || s == rewrite.Drop || s == rewrite.Rename
		})
		decodeField(e, "name", &r.Name, nameRule, name)
		e.require("dir", "when", "op", "name")
		switch r.Op { // "value" and "to" are unknown fields for the other operations
		case rewrite.Add:
			decodeField(e, "value", &r.Value, "text without control bytes", func(s string) bool {
				return !strings.ContainsFunc(s, func(c rune) bool { return c < ' ' || c == 0x7f })
			})
			e.require("value")
		case rewrite.Rename:
			decodeField(e, "to", &r.To, nameRule, name)
			e.require("to")
		}
		when := e.child("when")
		decodeField(when, "class", &r.Class, "a class of the settings", func(s string) bool { return hasClass(c, s) })
		decodeField(when, "path_prefix", &r.PathPrefix, `a path from its "/"`, func(s string) bool { return strings.HasPrefix(s, "/") })
		if len(when.fields) == 0 {
			e.fail("when", "want path_prefix, class or both")
		}
		f.Rewrites.Rules = append(f.Rewrites.Rules, r)
	}
}

// readHealth reads the port for health checks by other programs, and the limits beyond which the sidecar reports not ready.
func (f *Features) readHealth(o *object, c *sidecarconfig.Config) {
	f.Health = health.Settings{MaxListAgeMS: 6000, MinUsable: 1, MaxInflight: 256}
	o.flatten("health", "port", "max_list_age_ms", "min_usable", "max_inflight")
	decodeField(o, "health.port", &f.Health.Port, "1 to 65535, and not the port of the listen address", func(v int) bool {
		listen, err := netip.ParseAddrPort(c.Listen)
		return v >= 1 && v <= 65535 && (err != nil || int(listen.Port()) != v)
	})
	decodeField(o, "health.max_list_age_ms", &f.Health.MaxListAgeMS, "0 or more", func(v float64) bool { return v >= 0 })
	decodeField(o, "health.min_usable", &f.Health.MinUsable, "a whole number from 0", func(v int) bool { return v >= 0 })
	decodeField(o, "health.max_inflight", &f.Health.MaxInflight, "a whole number from 0", func(v int) bool { return v >= 0 })
}

// readCapture reads the settings of package capture. Any of its fields enables capturing; an empty object enables it with
// the defaults.
func (f *Features) readCapture(o *object, cfg *sidecarconfig.Config) {
	c := &f.Capture
	c.MaxBytes, c.Segments = 512<<10, 4
	for name := range o.fields {
		c.Enabled = c.Enabled || name == "capture" || strings.HasPrefix(name, "capture.")
	}
	o.flatten("capture", "max_bytes", "files", "dir")
	decodeField(o, "capture.files", &c.Segments, "1 to 64", func(v int) bool { return v >= 1 && v <= 64 })
	decodeField(o, "capture.max_bytes", &c.MaxBytes, "a whole number up to 67108864", func(v int) bool { return v <= 64<<20 })
	if c.Segments > 0 && c.MaxBytes/c.Segments < capture.MinSegmentBytes {
		o.fail("capture.max_bytes", fmt.Sprintf("want at least %d for each of capture.files", capture.MinSegmentBytes))
	}
	// Danger: the ring buffer is allocated at startup and a dump copies it. A sidecar that exceeds its memory limit is killed.
	if maxBytes := cfg.Limits.MemoryMB << 20 / 4; c.Enabled && c.MaxBytes > maxBytes {
		o.fail("capture.max_bytes", fmt.Sprintf("want at most %d, a quarter of limits.memory_mb", maxBytes))
	}
	decodeField(o, "capture.dir", &c.Dir, "the path of a folder", func(s string) bool { return s != "" })
}

// readAdmission reads the limits on the connections and buffered bytes of clients.
func (f *Features) readAdmission(o *object, cfg *sidecarconfig.Config) {
	a := &f.Admission
	o.flatten("admission", "reserve", "per_address", "waiting_bytes", "caps", "known")
	maxReserved := cfg.Limits.Sockets / 4
	decodeField(o, "admission.reserve", &a.ReservedForKnown, fmt.Sprintf("a whole number from 1 to %d, a quarter of limits.sockets", maxReserved),
		func(v int) bool { return v >= 1 && v <= maxReserved })
	decodeField(o, "admission.per_address", &a.MaxPerAddress, "a whole number from 1", func(v int) bool { return v >= 1 })
	decodeField(o, "admission.waiting_bytes", &a.MaxBufferedBytes, "a whole number from 65536", func(v int) bool { return v >= 64<<10 })
	var known []string
	decodeField(o, "admission.known", &known, "a list of addresses or prefixes", func([]string) bool { return true })
	for i, text := range known {
		p, err := parsePrefix(text)
		if err != nil {
			o.fail(fmt.Sprintf("admission.known[%d]", i), fmt.Sprintf("%q is neither an address nor a prefix", text))
		}
		a.KnownPrefixes = append(a.KnownPrefixes, p)
	}
	for _, e := range o.list("admission.caps") {
		var text string
		var c admission.PrefixLimit
		var err error
		decodeField(e, "prefix", &text, "an address or a prefix like 10.1.0.0/16", func(s string) bool {
			c.Prefix, err = parsePrefix(s)
			return err == nil
		})
		decodeField(e, "links", &c.MaxConns, "a whole number from 1", func(v int) bool { return v >= 1 })
		e.require("prefix", "links")
		for j, other := range a.PrefixLimits {
			if c.Prefix.IsValid() && other.Prefix.Overlaps(c.Prefix) && other.MaxConns != c.MaxConns {
				e.fail("prefix", fmt.Sprintf("%s overlaps with admission.caps[%d], %s, which has another cap", c.Prefix, j, other.Prefix))
			}
		}
		a.PrefixLimits = append(a.PrefixLimits, c)
	}
}

// parsePrefix parses an IP prefix. A single address becomes a prefix of full length.
func parsePrefix(text string) (netip.Prefix, error) {
	if a, err := netip.ParseAddr(text); err == nil {
		return netip.PrefixFrom(a.Unmap(), a.Unmap().BitLen()), nil
	}
	p, err := netip.ParsePrefix(text)
	return p.Masked(), err
}

// hasClass reports whether the configuration defines a class of this name.
func hasClass(c *sidecarconfig.Config, name string) bool {
	for _, class := range c.Settings.Policy.Classes {
		if class.Name == name {
			return true
		}
	}
	return false
}

// maxNameBytes bounds the names that isPlainName accepts.
const maxNameBytes = 64

// isPlainName reports whether a name can be used without quoting in a path, a log line and a metric.
func isPlainName(s string) bool {
	isForbidden := func(r rune) bool {
		isAlphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		return !isAlphanumeric && !strings.ContainsRune("._-", r)
	}
	return strings.Trim(s, ".") != "" && len(s) <= maxNameBytes && !strings.ContainsFunc(s, isForbidden)
}
