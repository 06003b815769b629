package features

import (
	"net/netip"

	"hazelwheel/internal/config"
)

// Fleet says how this sidecar is found by others of its fleet, and whom it looks for; without a Name it looks for none.
type Fleet struct {
	Name      string
	Listen    string   // address and port for peers
	Advertise string   // where peers dial it; empty: Listen
	Join      []string // addresses to begin with
	Dir       string   // for what must survive a restart; empty: each start is a new sidecar
}

// On tells whether the sidecar looks for others.
func (f *Fleet) On() bool { return f.Name != "" }

// mostJoin bounds the addresses to begin with.
const mostJoin = 64

func (f *Features) readFleet(o *object, c *config.Config) {
	if _, on := o.fields["fleet"]; !on {
		return
	}
	p := o.part("fleet")
	field(p, "name", &f.Fleet.Name, "the fleet's name, of at most 64 letters, digits, '.', '_' and '-'", plainName)
	field(p, "listen", &f.Fleet.Listen, "an address and port of its own, like 10.0.0.7:7946", func(s string) bool {
		a, err := netip.ParseAddrPort(s)
		if err != nil || a.Port() == 0 || int(a.Port()) == f.Health.Port {
			return false
		}
		for _, other := range []string{c.Listen, c.Ops, f.Thrift.Listen} {
			if b, err := netip.ParseAddrPort(other); err == nil && b.Port() == a.Port() {
				return false
			}
		}
		return true
	})
	field(p, "advertise", &f.Fleet.Advertise, "the address and port at which others reach it", config.Dialable)
	field(p, "join", &f.Fleet.Join, "a list of at most 64 addresses with their ports", func(all []string) bool {
		for _, s := range all {
			if !config.Dialable(s) {
				return false
			}
		}
		return len(all) <= mostJoin
	})
	field(p, "dir", &f.Fleet.Dir, "the path of a folder", func(s string) bool { return s != "" })
	p.need("name", "listen")
	if a, err := netip.ParseAddrPort(f.Fleet.Listen); err == nil && a.Addr().IsUnspecified() && f.Fleet.Advertise == "" {
		p.fail("advertise", "missing: nobody can dial "+f.Fleet.Listen)
	}
}
