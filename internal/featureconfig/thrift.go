package featureconfig

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"hazelwheel/internal/sidecarconfig"
	"hazelwheel/internal/thrift"
)

// Thrift holds the settings of the Thrift protocol, which is disabled while Listen is empty.
type Thrift struct {
	Listen     string        // address and port for Thrift clients
	Only       bool          // servers speak only Thrift; the sidecar keeps HTTP for readiness, counters and drills
	Port       int           // on which servers accept Thrift; 0: the port in the endpoint list
	Probe      string        // method that a probe calls, without arguments; empty: servers are probed over HTTP
	NotStarted string        // prefix of the message of a server's TApplicationException if the server did not start the call
	Classes    []ThriftClass // in the file's order
}

// ThriftClass maps Thrift methods to a class. The paths locate request attributes among the arguments of a call; with an
// empty path calls lack that attribute.
type ThriftClass struct {
	Class    string
	Methods  []string // "method", or "service:method" where services share a connection
	ID       thrift.Path
	Key      thrift.Path
	Patience thrift.Path
	Retry    thrift.Path // leads to a bool
	UnitS    float64     // seconds in one unit of the value at Patience
}

// On reports whether Thrift is enabled.
func (t *Thrift) On() bool { return t.Listen != "" }

// readThrift reads the Thrift settings, which map methods to classes.
func (f *Features) readThrift(o *object, c *sidecarconfig.Config) {
	if _, on := o.fields["thrift"]; !on {
		return
	}
	t, p := &f.Thrift, o.child("thrift")
	t.NotStarted = "not started"
	decodeField(p, "listen", &t.Listen, "an address and port of its own, like 127.0.0.1:9090", func(s string) bool {
		a, err := netip.ParseAddrPort(s)
		listen, _ := netip.ParseAddrPort(c.Listen)
		return err == nil && a.Port() != 0 && a.Port() != listen.Port() && int(a.Port()) != f.Health.Port
	})
	decodeField(p, "only", &t.Only, "true or false", func(bool) bool { return true })
	decodeField(p, "port", &t.Port, "1 to 65535", func(v int) bool { return v >= 1 && v <= 65535 })
	decodeField(p, "probe", &t.Probe, "a method's name", isMethodName)
	decodeField(p, "not_started", &t.NotStarted, "text", func(s string) bool { return s != "" })
	p.require("listen", "classes")
	if t.Only && t.Probe == "" && c.Settings.Policy.ProbesEnabled {
		p.fail("probe", "missing: the boxes speak no HTTP, and the settings have them probed")
	}
	classes, methods := map[string]bool{}, map[string]string{}
	for _, e := range p.list("classes") {
		k := ThriftClass{UnitS: 1e-3}
		decodeField(e, "class", &k.Class, "a class of the settings, once", func(s string) bool { return hasClass(c, s) && !classes[s] })
		decodeField(e, "methods", &k.Methods, `a list of methods, like "latestReading" or "Readings:latestReading"`, func(names []string) bool {
			for _, name := range names {
				if !isMethodName(name) {
					return false
				}
				if of := methods[name]; of != "" {
					e.fail("methods", fmt.Sprintf("%s is a method of %s, too", name, of))
				}
				methods[name] = k.Class
			}
			return len(names) > 0
		})
		path := func(name string, p *thrift.Path) {
			var text string
			decodeField(e, name, &text, `a path of field ids, like "1" or "2.1"`, func(s string) (ok bool) {
				*p, ok = parsePath(s)
				return ok
			})
		}
		path("id", &k.ID)
		path("key", &k.Key)
		path("patience_ms", &k.Patience)
		path("retry", &k.Retry)
		if _, us := e.fields["patience_us"]; us {
			if k.UnitS = 1e-6; k.Patience != nil {
				e.fail("patience_us", "given in milliseconds, too")
			}
			path("patience_us", &k.Patience)
		}
		e.require("class", "methods")
		classes[k.Class] = true
		t.Classes = append(t.Classes, k)
	}
	if len(t.Classes) == 0 && p.err == nil {
		p.fail("classes", "want one at least")
	}
}

// isMethodName reports whether s is a valid method name, optionally prefixed by its service as in "service:method".
func isMethodName(s string) bool {
	return len(s) > 0 && len(s) <= 128 && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}

// parsePath parses field ids separated by dots.
func parsePath(text string) (p thrift.Path, ok bool) {
	for id := range strings.SplitSeq(text, ".") {
		n, err := strconv.ParseInt(id, 10, 16)
		if err != nil {
			return nil, false
		}
		p = append(p, int16(n))
	}
	return p, len(p) <= thrift.MaxDepth/2
}
