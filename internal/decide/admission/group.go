package admission

import "net/netip"

// groupBitsIPv4 and groupBitsIPv6 are the lengths of the prefixes by which clients are grouped: a site typically has a network of
// many IPv4 addresses, while a single host can use all IPv6 addresses of a /64.
const (
	groupBitsIPv4 = 24
	groupBitsIPv6 = 64
)

// group is either the known or the unknown clients of a prefix.
type group struct {
	prefix    netip.Prefix
	isKnown   bool
	clients   heap[*client]
	weight    float64 // sum of the clients' reclaimableWeight
	heapIndex int     // index in ConnTable.groupsByWeight plus 1; 0 if not in it
}

// groupPrefix returns the prefix by which an address is grouped.
func groupPrefix(addr netip.Addr) netip.Prefix {
	bits := groupBitsIPv4
	if addr.Is6() {
		bits = groupBitsIPv6
	}
	prefix, err := addr.Prefix(bits)
	if err != nil {
		return netip.Prefix{} // all invalid addresses form one group
	}
	return prefix
}

// joinGroup adds a client to its group.
func (t *ConnTable) joinGroup(c *client) {
	groups := t.groups[knownIndex(c.isKnown)]
	prefix := groupPrefix(c.addr)
	g := groups[prefix]
	if g == nil {
		g = &group{prefix: prefix, isKnown: c.isKnown}
		groups[prefix] = g
	}
	c.group = g
	c.countedWeight = 0
	t.updateWeight(c)
}

// leaveGroup removes a client from its group.
func (t *ConnTable) leaveGroup(c *client) {
	g := c.group
	known := knownIndex(g.isKnown)
	g.clients.remove(c)
	g.weight -= c.countedWeight
	if g.clients.len() > 0 {
		t.groupsByWeight[known].push(g)
		return
	}
	t.groupsByWeight[known].remove(g)
	delete(t.groups[known], g.prefix)
}

// updateWeight updates the weight of a client in its group after a change of its connections.
func (t *ConnTable) updateWeight(c *client) {
	weight := c.reclaimableWeight()
	c.group.weight += weight - c.countedWeight // weights are multiples of 1/4, so sums have no rounding errors
	c.countedWeight = weight
	c.group.clients.push(c)
	t.groupsByWeight[knownIndex(c.group.isKnown)].push(c.group)
}

// knownIndex returns the index in arrays of two elements, for unknown and known clients.
func knownIndex(isKnown bool) int {
	if isKnown {
		return 1
	}
	return 0
}
