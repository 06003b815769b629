package lint

import (
	"net/netip"
	"strconv"
	"strings"

	"hazelwheel/internal/appconfig"
)

var instanceChecks = []Check{
	{Code: "HW070", Severity: Error, Title: "no address and port", Subject: "listen, discovery, ops",
		Format: "%[1]q is not an address and port",
		Reason: "The sidecar does not look names up, and refuses to start",
		Remedy: "Write digits, like 127.0.0.1:3000",
		app: func(u *unit, report reportFunc) {
			for field, text := range map[string]string{"listen": u.app.Listen, "discovery": u.app.Discovery, "ops": u.app.Ops} {
				if a, err := netip.ParseAddrPort(text); (err != nil || a.Port() == 0) && text != "" {
					report(u.at("%s", field), text)
				}
			}
		}},
	{Code: "HW071", Severity: Error, Title: "listen and discovery the same", Subject: "listen, discovery",
		Format: "%[1]s is discovery's address, too",
		Reason: "The sidecar would ask itself which boxes there are",
		Remedy: "Write discovery's own address",
		app: func(u *unit, report reportFunc) {
			if u.app.Listen == u.app.Discovery && u.app.Listen != "" {
				report(u.at("discovery").with(u.at("listen")), u.app.Listen)
			}
		}},
	{Code: "HW072", Severity: Warning, Title: "listens on every address", Subject: "listen",
		Format: "%[1]s is every address of the machine",
		Reason: "Whoever reaches the machine can send requests, not the application beside the sidecar alone",
		Remedy: "Write the address that the application uses, mostly 127.0.0.1",
		app: func(u *unit, report reportFunc) {
			if a := address(u.app.Listen); a.Addr().IsValid() && a.Addr().IsUnspecified() {
				report(u.at("listen"), u.app.Listen)
			}
		}},
	{Code: "HW073", Severity: Error, Title: "discovery nowhere", Subject: "discovery",
		Format: "%[1]s is no address that anybody can be reached at",
		Reason: "The sidecar never learns of a box",
		Remedy: "Write discovery's address",
		app: func(u *unit, report reportFunc) {
			if a := address(u.app.Discovery); a.Addr().IsValid() && (a.Addr().IsUnspecified() || a.Addr().IsMulticast()) {
				report(u.at("discovery"), u.app.Discovery)
			}
		}},
	{Code: "HW074", Severity: Warning, Title: "port for which privileges are needed", Subject: "listen, health.port",
		Format: "the port %[1]d is below 1024",
		Reason: "The sidecar runs as an ordinary user and can't listen there",
		Remedy: "Write a port from 1024 on",
		app: func(u *unit, report reportFunc) {
			if p := address(u.app.Listen).Port(); p > 0 && p < 1024 {
				report(u.at("listen"), p)
			}
		},
		features: func(u *unit, report reportFunc) {
			if h := u.features.Health; h != nil && h.Port > 0 && h.Port < 1024 {
				report(u.atFeature("health.port"), h.Port)
			}
		}},
	{Code: "HW075", Severity: Warning, Title: "port that outgoing connections use", Subject: "listen, health.port",
		Format: "the port %[1]d is in the range from which the machine takes ports for outgoing connections",
		Reason: "Now and then one of them has it when the sidecar starts, and the start fails",
		Remedy: "Write a port below 32768",
		app: func(u *unit, report reportFunc) {
			if p := address(u.app.Listen).Port(); p >= 32768 && p <= 60999 {
				report(u.at("listen"), p)
			}
		},
		features: func(u *unit, report reportFunc) {
			if h := u.features.Health; h != nil && h.Port >= 32768 && h.Port <= 60999 {
				report(u.atFeature("health.port"), h.Port)
			}
		}},
	{Code: "HW076", Severity: Error, Title: "port taken twice", Subject: "health.port, listen, discovery",
		Format: "the port %[1]d is that of %[2]s",
		Reason: "Only one of the two can have it, and the sidecar refuses to start",
		Remedy: "Write another port",
		features: func(u *unit, report reportFunc) {
			if u.app == nil || u.features.Health == nil || u.features.Health.Port == 0 {
				return
			}
			listen, discovery, port := address(u.app.Listen), address(u.app.Discovery), u.features.Health.Port
			if int(listen.Port()) == port {
				report(u.atFeature("health.port").with(u.at("listen")), port, "the listen address")
			} else if int(discovery.Port()) == port && discovery.Addr() == listen.Addr() {
				report(u.atFeature("health.port").with(u.at("discovery")), port, "discovery on the same host")
			}
		}},
	{Code: "HW077", Severity: Error, Title: "index not below the replicas", Subject: "index, replicas",
		Format: "the index %[1]d is not below the %[2]d replicas; they count from 0",
		Reason: "Which boxes an instance uses follows from its index: this one takes those of another, and some boxes get twice their part",
		Remedy: "Write an index from 0 to one less than replicas",
		app: func(u *unit, report reportFunc) {
			if u.app.Index >= u.app.Replicas {
				report(u.at("index").with(u.at("replicas")), u.app.Index, u.app.Replicas)
			}
		}},
	{Code: "HW078", Severity: Error, Title: "home that is no place of the site", Subject: "home, the site's places",
		Format: "the site has no place %[1]q",
		Reason: "Every box would count as far away, and the price of crossing would be paid for all",
		Remedy: "%[2]s",
		against: func(u *unit, report reportFunc) {
			places := u.site.Places
			for _, p := range places {
				if p == u.app.Home {
					return
				}
			}
			if u.app.Home == "" || u.file.Kind == appconfig.PlatformFile { // its places are compared with those of the site by HW126
				return
			}
			do := "Write one of " + strings.Join(places, ", ")
			if near := appconfig.Nearest(u.app.Home, places); near != "" {
				do = "Write " + near + " if that is meant"
			}
			report(u.at("home").with(u.atSite("places")), u.app.Home, do)
		}},
	{Code: "HW079", Severity: Warning, Title: "no home at a site of several places", Subject: "home, the site's places, cross_cost",
		Format: "the file does not say which of the site's %[1]d places the instance is at",
		Reason: "No box counts as near, and the site takes %[2]g of a request's worth for each that is served elsewhere",
		Remedy: "Write home",
		against: func(u *unit, report reportFunc) {
			if u.app.Home == "" && len(u.site.Places) > 1 && u.site.CrossCost > 0 && !u.file.Has("app.home") {
				report(u.at("home"), len(u.site.Places), u.site.CrossCost)
			}
		}},
	{Code: "HW080", Severity: Error, Title: "seed that is no number", Subject: "seed",
		Format: "%[1]q is not a hexadecimal number of 64 bits",
		Reason: "The sidecar refuses to start",
		Remedy: "Write up to 16 digits from 0 to f, or take the field out",
		app: func(u *unit, report reportFunc) {
			if _, err := strconv.ParseUint(u.app.Seed, 16, 64); err != nil && u.app.Seed != "" {
				report(u.at("seed"), u.app.Seed)
			}
		}},
	{Code: "HW082", Severity: Warning, Title: "no list to begin with", Subject: "known, settings.discovery",
		Format: "the list of boxes comes when asked for, and there is none to begin with",
		Reason: "The sidecar asks for it with its first request, which it then has to refuse",
		Remedy: "Write known, at least {\"index\": 0, \"snapshot\": true, \"endpoints\": []}",
		against: func(u *unit, report reportFunc) {
			if u.file.Kind == appconfig.PlatformFile && u.site.List.Mode == "ask" && !u.file.Has("app.known") {
				report(u.at("known"))
			}
		}},
	{Code: "HW081", Severity: Note, Title: "discovery on the instance's own machine", Subject: "listen, discovery",
		Format: "discovery is at %[1]s, and the application connects from elsewhere",
		Reason: "A loopback address is another machine's for nobody; it may be left from a trial",
		Remedy: "Write discovery's address in the network",
		app: func(u *unit, report reportFunc) {
			l, d := address(u.app.Listen), address(u.app.Discovery)
			if d.Addr().IsValid() && d.Addr().IsLoopback() && l.Addr().IsValid() && !l.Addr().IsLoopback() && !l.Addr().IsUnspecified() {
				report(u.at("discovery").with(u.at("listen")), u.app.Discovery)
			}
		}},
}

// address parses an address and port; the zero value if it is invalid.
func address(text string) netip.AddrPort {
	a, _ := netip.ParseAddrPort(text)
	return a
}
