package admission

import "net/netip"

// groupBitsIPv4 and groupBitsIPv6 are the lengths of the prefixes by which clients are grouped: the network of a site has many
// addresses of IPv4, and a single host has all addresses of a prefix of IPv6.
const (
	groupBitsIPv4 = 24
	groupBitsIPv6 = 64
)

// group is the known or the unknown clients of a prefix.
type group struct {
	prefix    netip.Prefix
	isKnown   bool
	clients   heap[*client]
	weight    float64 // sum of the clients' reclaimableWeight
	heapIndex int     // in ConnTable.groupsByWeight, from 1; 0: none
}

// groupPrefix returns the prefix by which an address is grouped.
func groupPrefix(addr netip.Addr) netip.Prefix {
	bits := groupBitsIPv4
	if addr.Is6() {
		bits = groupBitsIPv6
	}
	prefix, err := addr.Prefix(bits)
	if err != nil {
		return netip.Prefix{} // invalid addresses form a group
	}
	return prefix
}

// joinGroup puts a client into its group.
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

// leaveGroup takes a client out of its group.
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
	c.group.weight += weight - c.countedWeight // multiples of a quarter, which add up without rounding
	c.countedWeight = weight
	c.group.clients.push(c)
	t.groupsByWeight[knownIndex(c.group.isKnown)].push(c.group)
}

// knownIndex returns the index of known or unknown clients in arrays of both.
func knownIndex(isKnown bool) int {
	if isKnown {
		return 1
	}
	return 0
}
