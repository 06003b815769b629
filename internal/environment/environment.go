package environment

import (
	"net/netip"
	"strings"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/netio"
)

// Environment holds the actors of a day.
type Environment struct {
	Day            *Day
	Servers        []*Server // by number
	Discovery      *Discovery
	Applications   []*Application    // by sidecar
	Batches        []*Application    // by sidecar; none where the day has no batch
	HostileClients []*HostileClients // by sidecar

	observer   checker.Observer
	serverByIP map[string]*Server // the server whose process starts next at an IP; looked up, never walked
}

// New returns the actors of a day. They report to the observer all that crosses the wire.
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

// serverPort is the port on which servers listen.
const serverPort = ":3000"

// alternateIP returns the address at which a server restarts that moves.
func alternateIP(b *ServerSpec) string {
	a := netip.MustParseAddr(b.IP).As4()
	a[1] += 2
	return netip.AddrFrom4(a).String()
}

// Machines returns what Hosts run beside the sidecars, in the order in which they start: servers, discovery's addresses,
// and for each sidecar its application and the hostile clients.
func (e *Environment) Machines() []Machine {
	var all []Machine
	for _, b := range e.Servers {
		for i, ip := range []string{b.Spec.IP, alternateIP(&b.Spec)} {
			all = append(all, Machine{
				Name:        b.Spec.Name,
				IP:          ip,
				Listen:      ip + serverPort,
				Site:        b.Spec.Site,
				Boot:        func(net netio.EventLoop) netio.Handler { return e.serverByIP[ip].Boot(ip+serverPort, net) },
				StartsLater: i > 0 || b.Spec.Number >= e.Day.InitialServers,
			})
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

// notifyDraining notifies a sidecar's clients that it was told to shut down.
func (e *Environment) notifyDraining(sidecar int, now float64) {
	e.Applications[sidecar].SidecarDraining(now)
	if e.Batches != nil {
		e.Batches[sidecar].SidecarDraining(now)
	}
}

// notifyReplaced notifies a sidecar's clients that its next process starts.
func (e *Environment) notifyReplaced(sidecar int) {
	e.Applications[sidecar].SidecarReplaced()
	if e.Batches != nil {
		e.Batches[sidecar].SidecarReplaced()
	}
}

// currentIP returns the IP of the server's present process, or of the last one.
func (s *Server) currentIP() string {
	ip, _, _ := strings.Cut(s.Address, ":")
	return ip
}
