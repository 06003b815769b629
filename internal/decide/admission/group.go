package admission

import "net/netip"

// groupBits are how many bits of an address a group of neighbours shares: a site's network has many addresses of IPv4,
// and a single host of IPv6 has all of its own.
const (
	groupBits4 = 24
	groupBits6 = 64
)

// group is a prefix with its addresses that are known, or those that are not.
type group struct {
	prefix  netip.Prefix
	known   bool
	clients heap[*address]
	weight  float64
	place   int // in Room.heavy, from 1
}

// groupOf returns the prefix of an address's neighbours.
func groupOf(addr netip.Addr) netip.Prefix {
	bits := groupBits4
	if addr.Is6() {
		bits = groupBits6
	}
	p, err := addr.Prefix(bits)
	if err != nil {
		return netip.Prefix{} // an address that is none is its own group
	}
	return p
}

// group puts an address among its neighbours.
func (r *ConnTable) group(a *address) {
	of := r.groups[tree(a.known)]
	p := groupOf(a.addr)
	g := of[p]
	if g == nil {
		g = &group{prefix: p, known: a.known}
		of[p] = g
	}
	a.in, a.counted = g, 0
	r.reweigh(a)
}

// ungroup takes an address from its neighbours.
func (r *ConnTable) ungroup(a *address) {
	g := a.in
	g.clients.drop(a)
	g.weight -= a.counted
	if g.clients.len() > 0 {
		r.heavy[tree(g.known)].put(g)
		return
	}
	r.heavy[tree(g.known)].drop(g)
	delete(r.groups[tree(g.known)], g.prefix)
}

// reweigh follows a change of an address's links.
func (r *ConnTable) reweigh(a *address) {
	w := a.weight()
	a.in.weight += w - a.counted // quarters of whole numbers, which add up exactly
	a.counted = w
	a.in.clients.put(a)
	r.heavy[tree(a.in.known)].put(a.in)
}

// tree is the place of the known or of strangers in pairs of both.
func tree(known bool) int {
	if known {
		return 1
	}
	return 0
}
