package sidecarconfig

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
)

// Jobs are the names of the roles that one sidecar holds for its whole fleet.
var Jobs = []string{"list", "report", "drill", "works"}

// Dialable reports whether s is a host:port address that other processes can dial: it has a port other than 0, and its host is not the
// unspecified address.
func Dialable(s string) bool {
	host, port, err := net.SplitHostPort(s)
	n, bad := strconv.ParseUint(port, 10, 16)
	if err != nil || bad != nil || n == 0 || host == "" || len(s) > 256 || strings.ContainsAny(s, " \t\r\n") {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return err != nil || !ip.IsUnspecified()
}
