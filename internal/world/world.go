package world

import (
	"hazelwheel/internal/judge"
)

// World holds the actors of a day.
type World struct {
	Day      *Day
	Boxes    []*Box         // by number
	Registry *Registry      // discovery
	Apps     []*Application // by sidecar
	Mischief []*Mischief    // likewise: the clients that may not be served
}

// New returns the actors of a day. They tell a witness all that crosses the wire.
func New(d *Day, witness judge.Witness) *World {
	w := &World{Day: d}
	memories := make([]keyMemory, len(d.Sites))
	for i := range d.Boxes {
		b := NewBox(d, i, witness)
		b.keys = &memories[b.Spec.Site]
		w.Boxes = append(w.Boxes, b)
	}
	w.Registry = NewRegistry(d, witness)
	for i := range d.Sidecars {
		a := NewApplication(d, i, witness)
		w.Apps = append(w.Apps, a)
		w.Mischief = append(w.Mischief, NewMischief(d, i, a, witness))
	}
	return w
}

// Machines returns what a Ground runs beside the sidecars, in the order in which they begin: boxes, discovery's
// addresses, and for each sidecar its application and the hostile clients.
func (w *World) Machines() []Machine {
	var all []Machine
	for _, b := range w.Boxes {
		all = append(all, Machine{Name: b.Spec.Name, IP: b.Spec.IP, Listen: b.Spec.Address, Site: b.Spec.Site, Boot: b.Boot,
			Late: b.Spec.Number >= w.Day.Standing})
	}
	for i, ip := range w.Day.Registry.IPs {
		all = append(all, Machine{Name: "discovery", IP: ip, Listen: w.Day.Registry.Addresses[i], Boot: w.Registry.Boot(i), Late: i > 0})
	}
	for i, s := range w.Day.Sidecars {
		all = append(all,
			Machine{Name: "app-" + s.Name, IP: s.IP, Site: s.Site, Boot: w.Apps[i].Boot},
			Machine{Name: "hostile-" + s.Name, IP: s.IP, Site: s.Site, Boot: w.Mischief[i].Boot})
	}
	return all
}
