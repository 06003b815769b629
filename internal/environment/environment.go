package environment

import (
	"net/netip"
	"strings"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/netio"
)

// World holds the actors of a day.
type Environment struct {
	Day            *Day
	Servers        []*Server         // by number
	Discovery      *Discovery        // discovery
	Applications   []*Application    // by sidecar
	Batches        []*Application    // likewise; none where the day has no batch
	HostileClients []*HostileClients // likewise: the clients that may not be served

	observer   checker.Observer
	serverByIP map[string]*Server // by IP, whose process begins there next; looked up, never walked
}

// New returns the actors of a day. They tell a witness all that crosses the wire.
func New(day *Day, observer checker.Observer) *Environment {
	environment := &Environment{Day: day, observer: observer, serverByIP: map[string]*Server{}}
	memories := make([]keyMemory, len(day.Sites))
	environment.Discovery = NewDiscovery(day, observer)
	for i := range day.Servers {
		server := NewServer(day, i, environment.Discovery, &memories[day.Servers[i].Site], observer)
		environment.Servers = append(environment.Servers, server)
		environment.serverByIP[server.Spec.IP] = server
		environment.serverByIP[alternateIP(&server.Spec)] = server
	}
	for i := range day.Sidecars {
		a := NewApplication(day, i, observer)
		environment.Applications = append(environment.Applications, a)
		if day.Batch != nil {
			environment.Batches = append(environment.Batches, NewBatch(day, i, observer))
		}
		environment.HostileClients = append(environment.HostileClients, NewHostileClients(day, i, a, observer))
	}
	return environment
}

// boxPort is where boxes listen.
const serverPort = ":3000"

// otherIP is the address at which a box returns that returns elsewhere.
func alternateIP(b *ServerSpec) string {
	a := netip.MustParseAddr(b.IP).As4()
	a[1] += 2
	return netip.AddrFrom4(a).String()
}

// Machines returns what a Ground runs beside the sidecars, in the order in which they begin: boxes, discovery's
// addresses, and for each sidecar its application and the hostile clients.
func (e *Environment) Machines() []Machine {
	var all []Machine
	for _, b := range e.Servers {
		for i, ip := range []string{b.Spec.IP, alternateIP(&b.Spec)} {
			all = append(all, Machine{Name: b.Spec.Name, IP: ip, Listen: ip + serverPort, Site: b.Spec.Site,
				Boot:        func(net netio.EventLoop) netio.Handler { return e.serverByIP[ip].Boot(ip+serverPort, net) },
				StartsLater: i > 0 || b.Spec.Number >= e.Day.InitialServers})
		}
	}
	for i, ip := range e.Day.Discovery.IPs {
		all = append(all, Machine{Name: "discovery", IP: ip, Listen: e.Day.Discovery.Addresses[i], Boot: e.Discovery.Boot(i), StartsLater: i > 0})
	}
	for i, sidecar := range e.Day.Sidecars {
		all = append(all,
			Machine{Name: "app-" + sidecar.Name, IP: sidecar.IP, Site: sidecar.Site, Boot: e.Applications[i].Boot},
			Machine{Name: "hostile-" + sidecar.Name, IP: sidecar.IP, Site: sidecar.Site, Boot: e.HostileClients[i].Boot})
	}
	for i, b := range e.Batches {
		sidecar := &e.Day.Sidecars[i]
		all = append(all, Machine{Name: "batch-" + sidecar.Name, IP: sidecar.IP, Site: sidecar.Site, Boot: b.Boot})
	}
	return all
}

// leave tells a sidecar's clients that it has been told to end.
func (e *Environment) notifyDraining(sidecar int, now float64) {
	e.Applications[sidecar].SidecarDraining(now)
	if e.Batches != nil {
		e.Batches[sidecar].SidecarDraining(now)
	}
}

// stay tells them that there is another.
func (e *Environment) notifyReplaced(sidecar int) {
	e.Applications[sidecar].SidecarReplaced()
	if e.Batches != nil {
		e.Batches[sidecar].SidecarReplaced()
	}
}

// machine returns the IP of the machine that a box's present life is on, or its last one was.
func (s *Server) currentIP() string {
	ip, _, _ := strings.Cut(s.Address, ":")
	return ip
}
