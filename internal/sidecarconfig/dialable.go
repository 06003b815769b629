package sidecarconfig

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
)

// Jobs are all that one sidecar of a fleet can do on behalf of all.
var Jobs = []string{"list", "report", "drill", "works"}

// Dialable reports whether a text is an address with a port that others can dial.
func Dialable(s string) bool {
	host, port, err := net.SplitHostPort(s)
	n, bad := strconv.ParseUint(port, 10, 16)
	if err != nil || bad != nil || n == 0 || host == "" || len(s) > 256 || strings.ContainsAny(s, " \t\r\n") {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return err != nil || !ip.IsUnspecified()
}
