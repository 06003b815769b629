package environment

import (
	"net/netip"
	"strings"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/netio"
)

// World holds the actors of a day.
type World struct {
	Day      *Day
	Boxes    []*Box         // by number
	Registry *Registry      // discovery
	Apps     []*Application // by sidecar
	Batches  []*Application // likewise; none where the day has no batch
	Mischief []*Mischief    // likewise: the clients that may not be served

	witness checker.Observer
	tenants map[string]*Box // by IP, whose process begins there next; looked up, never walked
}

// New returns the actors of a day. They tell a witness all that crosses the wire.
func New(d *Day, witness checker.Observer) *World {
	w := &World{Day: d, witness: witness, tenants: map[string]*Box{}}
	memories := make([]keyMemory, len(d.Sites))
	w.Registry = NewRegistry(d, witness)
	for i := range d.Boxes {
		b := NewBox(d, i, w.Registry, &memories[d.Boxes[i].Site], witness)
		w.Boxes = append(w.Boxes, b)
		w.tenants[b.Spec.IP] = b
		w.tenants[otherIP(&b.Spec)] = b
	}
	for i := range d.Sidecars {
		a := NewApplication(d, i, witness)
		w.Apps = append(w.Apps, a)
		if d.Batch != nil {
			w.Batches = append(w.Batches, NewBatch(d, i, witness))
		}
		w.Mischief = append(w.Mischief, NewMischief(d, i, a, witness))
	}
	return w
}

// boxPort is where boxes listen.
const boxPort = ":3000"

// otherIP is the address at which a box returns that returns elsewhere.
func otherIP(b *BoxSpec) string {
	a := netip.MustParseAddr(b.IP).As4()
	a[1] += 2
	return netip.AddrFrom4(a).String()
}

// Machines returns what a Ground runs beside the sidecars, in the order in which they begin: boxes, discovery's
// addresses, and for each sidecar its application and the hostile clients.
func (w *World) Machines() []Machine {
	var all []Machine
	for _, b := range w.Boxes {
		for i, ip := range []string{b.Spec.IP, otherIP(&b.Spec)} {
			all = append(all, Machine{Name: b.Spec.Name, IP: ip, Listen: ip + boxPort, Site: b.Spec.Site,
				Boot: func(net netio.EventLoop) netio.Handler { return w.tenants[ip].Boot(ip+boxPort, net) },
				Late: i > 0 || b.Spec.Number >= w.Day.Standing})
		}
	}
	for i, ip := range w.Day.Registry.IPs {
		all = append(all, Machine{Name: "discovery", IP: ip, Listen: w.Day.Registry.Addresses[i], Boot: w.Registry.Boot(i), Late: i > 0})
	}
	for i, s := range w.Day.Sidecars {
		all = append(all,
			Machine{Name: "app-" + s.Name, IP: s.IP, Site: s.Site, Boot: w.Apps[i].Boot},
			Machine{Name: "hostile-" + s.Name, IP: s.IP, Site: s.Site, Boot: w.Mischief[i].Boot})
	}
	for i, b := range w.Batches {
		s := &w.Day.Sidecars[i]
		all = append(all, Machine{Name: "batch-" + s.Name, IP: s.IP, Site: s.Site, Boot: b.Boot})
	}
	return all
}

// leave tells a sidecar's clients that it has been told to end.
func (w *World) leave(sidecar int, now float64) {
	w.Apps[sidecar].Leave(now)
	if w.Batches != nil {
		w.Batches[sidecar].Leave(now)
	}
}

// stay tells them that there is another.
func (w *World) stay(sidecar int) {
	w.Apps[sidecar].Stay()
	if w.Batches != nil {
		w.Batches[sidecar].Stay()
	}
}

// machine returns the IP of the machine that a box's present life is on, or its last one was.
func (b *Box) machine() string {
	ip, _, _ := strings.Cut(b.Address, ":")
	return ip
}
