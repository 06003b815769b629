package realtime

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"
)

// who returns a function that finds out which sidecar a connection comes from. Danger: all processes on loopback speak
// from 127.0.0.1, and boxes know sidecars by their address. One that nobody is found for is closed, by the zero address: taken up,
// what came over it would be work that no client has asked for.
func (p *Play) who() func(peer, own netip.AddrPort) netip.AddrPort {
	home := netip.MustParseAddr("127.0.0.1")
	var ips []netip.Addr
	for _, s := range p.Day.Sidecars {
		ips = append(ips, netip.MustParseAddr(s.IP))
	}
	return func(peer, own netip.AddrPort) netip.AddrPort {
		switch {
		case peer.Addr() != home:
			return peer
		case len(ips) == 1:
			return netip.AddrPortFrom(ips[0], peer.Port())
		}
		// Danger: a socket that moves to another descriptor while a process's list is read may be missed, and where the machine
		// is busy a process may dial before its start has been noted here.
		for by := time.Now().Add(foundWithin); time.Now().Before(by); {
			inode, err := inodeOf(peer, own)
			if err != nil {
				return peer
			}
			if inode == "" {
				return netip.AddrPort{} // its process has died
			}
			for i, ip := range ips {
				if pid := p.sidecars[i].pid.Load(); pid > 0 && holds(pid, inode) {
					return netip.AddrPortFrom(ip, peer.Port())
				}
			}
			time.Sleep(time.Millisecond)
		}
		return netip.AddrPort{}
	}
}

// foundWithin is how long a connection's process is looked for.
const foundWithin = 2 * time.Second

// holds reports whether a process has a socket open.
func holds(pid int64, inode string) bool {
	dir, name := fmt.Sprintf("/proc/%d/fd", pid), "socket:["+inode+"]"
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if to, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && to == name {
			return true
		}
	}
	return false
}
