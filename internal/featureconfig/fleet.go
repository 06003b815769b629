package featureconfig

import (
	"net/netip"
	"slices"
	"strings"

	"hazelwheel/internal/sidecarconfig"
)

// Fleet holds the settings with which this sidecar joins its fleet. With an empty Name it joins none.
type Fleet struct {
	Name      string
	Listen    string   // address and port for peers
	Advertise string   // address that peers dial; empty: Listen
	Join      []string // addresses of peers to contact first
	Dir       string   // folder for state that must survive a restart; empty: the sidecar has a new identity after each start
	Voters    []string // addresses of the 3, 5 or 7 sidecars that elect the owners of jobs, the same at all sidecars; empty: jobs have no owner
	Jobs      []string // jobs that this sidecar can run for the fleet
}

// On reports whether the sidecar joins a fleet.
func (f *Fleet) On() bool { return f.Name != "" }

// IsVoter reports whether this sidecar is one of the voters.
func (f *Fleet) IsVoter() bool {
	return slices.ContainsFunc(f.Voters, func(s string) bool { return s == f.Listen && f.Advertise == "" || s == f.Advertise })
}

// maxJoinAddresses limits the length of Fleet.Join.
const maxJoinAddresses = 64

// readFleet reads the fleet settings.
func (f *Features) readFleet(o *object, c *sidecarconfig.Config) {
	if _, on := o.fields["fleet"]; !on {
		return
	}
	p := o.child("fleet")
	decodeField(p, "name", &f.Fleet.Name, "the fleet's name, of at most 64 letters, digits, '.', '_' and '-'", isPlainName)
	decodeField(p, "listen", &f.Fleet.Listen, "an address and port of its own, like 10.0.0.7:7946", func(s string) bool {
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
	decodeField(p, "advertise", &f.Fleet.Advertise, "the address and port at which others reach it", sidecarconfig.Dialable)
	decodeField(p, "join", &f.Fleet.Join, "a list of at most 64 addresses with their ports", func(all []string) bool {
		for _, s := range all {
			if !sidecarconfig.Dialable(s) {
				return false
			}
		}
		return len(all) <= maxJoinAddresses
	})
	decodeField(p, "dir", &f.Fleet.Dir, "the path of a folder", func(s string) bool { return s != "" })
	decodeField(p, "electors", &f.Fleet.Voters, "a list of 3, 5 or 7 different addresses with their ports, the same at all sidecars", func(all []string) bool {
		for i, s := range all {
			if !sidecarconfig.Dialable(s) || slices.Contains(all[:i], s) {
				return false
			}
		}
		return len(all) == 3 || len(all) == 5 || len(all) == 7
	})
	decodeField(p, "jobs", &f.Fleet.Jobs, "a list of jobs, each once: "+strings.Join(sidecarconfig.Jobs, ", "), func(all []string) bool {
		for i, s := range all {
			if !slices.Contains(sidecarconfig.Jobs, s) || slices.Contains(all[:i], s) {
				return false
			}
		}
		return true
	})
	p.require("name", "listen")
	if len(f.Fleet.Jobs) > 0 && len(f.Fleet.Voters) == 0 {
		p.fail("electors", "missing: nobody says who owns the jobs")
	}
	if f.Fleet.IsVoter() && f.Fleet.Dir == "" {
		p.fail("dir", "missing: this sidecar is one of the electors, and an elector must not forget its votes")
	}
	if a, err := netip.ParseAddrPort(f.Fleet.Listen); err == nil && a.Addr().IsUnspecified() && f.Fleet.Advertise == "" {
		p.fail("advertise", "missing: nobody can dial "+f.Fleet.Listen)
	}
}
