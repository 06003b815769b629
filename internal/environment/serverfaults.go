package environment

import (
	"slices"

	"hazelwheel/internal/checker"
)

// oneWayFault is a fault of the path between a sidecar and all servers that run at an IP meanwhile.
type oneWayFault struct {
	sidecar int32
	ip      string
	servers []int32
}

// delayConnects delays connections to servers, at the machines where they run now, until the fault is over.
func (f *FaultInjector) delayConnects(fault *Fault, now float64) {
	for _, server := range f.servers(fault) {
		ip := server.currentIP()
		f.whileAny(f.lateConnects, server.Spec.Number, fault, now, func(_ int, enabled bool) {
			if enabled {
				f.hosts.DelayConnects(ip, fault.Share, fault.DelaySeconds)
			} else {
				f.hosts.DelayConnects(ip, 0, 0)
			}
		})
	}
}

// shareOf returns the share of answers that a kind of fault changes.
func (m *Misbehavior) shareOf(kind FaultKind) *float64 {
	switch kind {
	case MalformedAnswers:
		return &m.Malformed
	case TrailingBytes:
		return &m.TrailingBytes
	case EarlyClose:
		return &m.EarlyClose
	default:
		return &m.InterimResponses
	}
}

// hangServers hangs servers until the fault is over. Faults that overlap are counted, so that the end of one does not end
// the others.
func (f *FaultInjector) hangServers(fault *Fault, now float64) {
	for _, server := range f.servers(fault) {
		n := server.Spec.Number
		f.hangs[n]++
		server.SetHung(true)
		f.atEnd(fault, now, func(float64) {
			if f.hangs[n]--; f.hangs[n] == 0 {
				server.SetHung(false)
			}
		})
	}
}

// stopServer kills a server's process or, if silent, makes its machine unreachable; false: it has no process.
func (f *FaultInjector) stopServer(server *Server, silent bool, now float64) bool {
	if !server.IsAlive() {
		return false
	}
	if silent {
		f.observePath(-1, int32(server.Spec.Number), true, now)
	}
	server.Stopped(now) // before the close of its connections arrives
	if silent {
		f.hosts.Vanish(server.currentIP())
	} else {
		f.hosts.Kill(server.currentIP())
	}
	f.environment.Discovery.ServerStopped(server.Spec.Number, silent, now)
	return true
}

// startServer starts a server's next process at an IP, unless it runs already or another one has the IP.
func (f *FaultInjector) startServer(server *Server, ip string, silent bool, now float64) {
	if tenant := f.environment.serverByIP[ip]; server.IsAlive() || tenant.IsAlive() && tenant.currentIP() == ip {
		return
	}
	if silent {
		f.observePath(-1, int32(server.Spec.Number), false, now)
	}
	f.environment.serverByIP[ip] = server
	for _, c := range f.oneWayFaults {
		if n := int32(server.Spec.Number); c.ip == ip && !slices.Contains(c.servers, n) {
			c.servers = append(c.servers, n)
			f.observePath(c.sidecar, n, true, now)
		}
	}
	f.hosts.Start(ip)
}

// StopServer ends a server's process, as the maintenance agent does.
func (f *FaultInjector) StopServer(number int, now float64) {
	f.stopServer(f.environment.Servers[number], false, now)
}

// StartServer starts the next process of a server that StopServer has stopped, unless a fault stopped it as well.
func (f *FaultInjector) StartServer(number int, now float64) {
	server := f.environment.Servers[number]
	f.startServer(server, server.currentIP(), false, now)
}

// stopAndReturn stops servers and starts them again when the fault is over.
func (f *FaultInjector) stopAndReturn(servers []*Server, fault *Fault, now float64, silent, moved bool) {
	for _, server := range servers {
		if !f.stopServer(server, silent, now) {
			continue
		}
		ip := server.currentIP()
		if moved {
			if ip == server.Spec.IP {
				ip = alternateIP(&server.Spec)
			} else {
				ip = server.Spec.IP
			}
		}
		f.atEnd(fault, now, func(now float64) { f.startServer(server, ip, silent, now) })
	}
}

// loseSite stops a site's servers, and its sidecars if the fault says so, until the fault is over.
func (f *FaultInjector) loseSite(fault *Fault, now float64) {
	for i, site := range f.environment.Day.Sites {
		if site != fault.Site {
			continue
		}
		var servers []*Server
		for _, server := range f.environment.Servers {
			if server.Spec.Site == i {
				servers = append(servers, server)
			}
		}
		f.stopAndReturn(servers, fault, now, fault.Silent, false)
		for k, sidecar := range f.environment.Day.Sidecars {
			if fault.WithSidecars && sidecar.Site == i {
				f.killSidecar(k, f.endsAt(fault, now)-now, now)
			}
		}
	}
}

// drainServers has servers drain, and stops them after the fault's notice.
func (f *FaultInjector) drainServers(servers []*Server, fault *Fault, now float64) {
	for _, server := range servers {
		if !server.IsAlive() {
			continue
		}
		process := server.process
		f.environment.Discovery.ServerDraining(server.Spec.Number, now)
		server.Drain()
		f.after(now, fault.DrainSeconds, func(now float64) {
			if server.process != process || !f.stopServer(server, false, now) || fault.DurationSeconds == 0 {
				return
			}
			f.atEnd(fault, now, func(now float64) { f.startServer(server, server.currentIP(), false, now) })
		})
	}
}

// resetRepeatedly resets connections between servers and sidecars in turn, at the fault's rate until a time.
func (f *FaultInjector) resetRepeatedly(servers []*Server, fault *Fault, now, until float64) {
	n := 0
	var step func(now float64)
	step = func(now float64) {
		if now >= until || len(servers) == 0 {
			return
		}
		server := servers[n%len(servers)]
		sidecar := f.environment.Day.Sidecars[n/len(servers)%len(f.environment.Day.Sidecars)]
		n++
		f.hosts.ResetConnections(sidecar.IP, server.currentIP())
		f.after(now, 1/fault.RatePerSecond, step)
	}
	step(now)
}

// dropOneWay loses bytes in one direction between sidecars and servers until the fault is over.
func (f *FaultInjector) dropOneWay(fault *Fault, now float64) {
	sidecars := fault.Sidecars
	if len(sidecars) == 0 {
		for i := range f.environment.Day.Sidecars {
			sidecars = append(sidecars, i)
		}
	}
	for _, server := range f.servers(fault) {
		for _, i := range sidecars {
			from, to := f.environment.Day.Sidecars[i].IP, server.currentIP()
			if !fault.ToServer {
				from, to = to, from
			}
			pathFault := &oneWayFault{sidecar: int32(i), ip: server.currentIP(), servers: []int32{int32(server.Spec.Number)}}
			if other := f.environment.serverByIP[pathFault.ip]; other != server && other.IsAlive() && other.currentIP() == pathFault.ip {
				pathFault.servers = append(pathFault.servers, int32(other.Spec.Number)) // it runs at the former address of the server
			}
			f.oneWayFaults = append(f.oneWayFaults, pathFault)
			for _, n := range pathFault.servers {
				f.observePath(pathFault.sidecar, n, true, now)
			}
			f.hosts.DropTraffic(from, to)
			f.atEnd(fault, now, func(now float64) {
				f.hosts.RestoreTraffic(from, to)
				f.oneWayFaults = slices.DeleteFunc(f.oneWayFaults, func(other *oneWayFault) bool { return other == pathFault })
				for _, n := range pathFault.servers {
					f.observePath(pathFault.sidecar, n, false, now)
				}
			})
		}
	}
}

// cordon has the operators of all sidecars cordon servers, or end that.
func (f *FaultInjector) cordon(servers []*Server, enabled bool) {
	kind := checker.ServerUncordoned
	if enabled {
		kind = checker.ServerCordoned
	}
	for i := range f.environment.Applications {
		for _, server := range servers {
			f.hosts.Cordon(i, server.Spec.Name, enabled, func() {
				f.observer.Observe(checker.Event{Kind: kind, At: f.hosts.Now(), Sidecar: int32(i), Server: int32(server.Spec.Number)})
			})
		}
	}
}

// replaceServer stops a server and starts another one at its address when the fault is over.
//
// Danger: a sidecar that was not notified yet addresses the old server; a server of another site there would make it
// violate the rules of groups without its fault.
func (f *FaultInjector) replaceServer(server *Server, fault *Fault, now float64) {
	replacement := slices.IndexFunc(f.environment.Servers, func(candidate *Server) bool {
		return candidate.Spec.Number >= f.environment.Day.InitialServers && candidate.incarnations == 0 && candidate.Spec.Site == server.Spec.Site && !f.replacementTaken[candidate.Spec.Number]
	})
	if replacement < 0 || !f.stopServer(server, false, now) {
		return
	}
	f.replacementTaken[replacement] = true
	ip := server.currentIP()
	f.atEnd(fault, now, func(now float64) { f.startServer(f.environment.Servers[replacement], ip, false, now) })
}

// crashServers stops servers and starts them again when the fault is over: HalfOpen by their machine's loss, CrashMoved at
// their other address.
func (f *FaultInjector) crashServers(fault *Fault, now float64) {
	f.stopAndReturn(f.servers(fault), fault, now, fault.Kind == HalfOpen, fault.Kind == CrashMoved)
}

// resetServers resets connections to servers until the fault is over.
func (f *FaultInjector) resetServers(fault *Fault, now float64) {
	f.resetRepeatedly(f.servers(fault), fault, now, f.endsAt(fault, now))
}

// misbehave has servers answer wrongly until the fault is over. Shares of faults that overlap add up.
func (f *FaultInjector) misbehave(fault *Fault, now float64) {
	for _, server := range f.servers(fault) {
		share := server.Misbehavior.shareOf(fault.Kind)
		*share += fault.Share
		f.atEnd(fault, now, func(float64) { *share = max(0, *share-fault.Share) })
	}
}

// cordonServers has the operators of all sidecars cordon servers until the fault is over.
func (f *FaultInjector) cordonServers(fault *Fault, now float64) {
	servers := f.servers(fault)
	f.cordon(servers, true)
	f.atEnd(fault, now, func(float64) { f.cordon(servers, false) })
}

// replaceServers stops servers and starts others at their addresses.
func (f *FaultInjector) replaceServers(fault *Fault, now float64) {
	for _, server := range f.servers(fault) {
		f.replaceServer(server, fault, now)
	}
}
