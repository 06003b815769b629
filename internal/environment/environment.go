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
func New(d *Day, witness checker.Observer) *Environment {
	w := &Environment{Day: d, observer: witness, serverByIP: map[string]*Server{}}
	memories := make([]keyMemory, len(d.Sites))
	w.Discovery = NewDiscovery(d, witness)
	for i := range d.Servers {
		b := NewServer(d, i, w.Discovery, &memories[d.Servers[i].Site], witness)
		w.Servers = append(w.Servers, b)
		w.serverByIP[b.Spec.IP] = b
		w.serverByIP[alternateIP(&b.Spec)] = b
	}
	for i := range d.Sidecars {
		a := NewApplication(d, i, witness)
		w.Applications = append(w.Applications, a)
		if d.Batch != nil {
			w.Batches = append(w.Batches, NewBatch(d, i, witness))
		}
		w.HostileClients = append(w.HostileClients, NewHostileClients(d, i, a, witness))
	}
	return w
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
func (w *Environment) Machines() []Machine {
	var all []Machine
	for _, b := range w.Servers {
		for i, ip := range []string{b.Spec.IP, alternateIP(&b.Spec)} {
			all = append(all, Machine{Name: b.Spec.Name, IP: ip, Listen: ip + serverPort, Site: b.Spec.Site,
				Boot:        func(net netio.EventLoop) netio.Handler { return w.serverByIP[ip].Boot(ip+serverPort, net) },
				StartsLater: i > 0 || b.Spec.Number >= w.Day.InitialServers})
		}
	}
	for i, ip := range w.Day.Discovery.IPs {
		all = append(all, Machine{Name: "discovery", IP: ip, Listen: w.Day.Discovery.Addresses[i], Boot: w.Discovery.Boot(i), StartsLater: i > 0})
	}
	for i, s := range w.Day.Sidecars {
		all = append(all,
			Machine{Name: "app-" + s.Name, IP: s.IP, Site: s.Site, Boot: w.Applications[i].Boot},
			Machine{Name: "hostile-" + s.Name, IP: s.IP, Site: s.Site, Boot: w.HostileClients[i].Boot})
	}
	for i, b := range w.Batches {
		s := &w.Day.Sidecars[i]
		all = append(all, Machine{Name: "batch-" + s.Name, IP: s.IP, Site: s.Site, Boot: b.Boot})
	}
	return all
}

// leave tells a sidecar's clients that it has been told to end.
func (w *Environment) notifyDraining(sidecar int, now float64) {
	w.Applications[sidecar].SidecarDraining(now)
	if w.Batches != nil {
		w.Batches[sidecar].SidecarDraining(now)
	}
}

// stay tells them that there is another.
func (w *Environment) notifyReplaced(sidecar int) {
	w.Applications[sidecar].SidecarReplaced()
	if w.Batches != nil {
		w.Batches[sidecar].SidecarReplaced()
	}
}

// machine returns the IP of the machine that a box's present life is on, or its last one was.
func (b *Server) currentIP() string {
	ip, _, _ := strings.Cut(b.Address, ":")
	return ip
}
