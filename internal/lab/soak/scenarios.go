package soak

import (
	"syscall"
	"time"
)

// scenario is a sequence of interventions at one machine. Its name is a key in reports.
type scenario struct {
	name string
	run  func(f *faultInjector, m *machine)
}

// The scenarios for all machines, for edge machines and for control machines. Each leaves its machine running. Steps do not wait for the effect
// of the step before.
var commonScenarios = []scenario{
	{"restart", func(f *faultInjector, m *machine) { m.signal(syscall.SIGTERM); m.restart() }},
	{"told to end twice", func(f *faultInjector, m *machine) {
		m.signal(syscall.SIGTERM)
		time.Sleep(f.drawDuration(10*time.Millisecond, time.Second))
		m.signal(syscall.SIGTERM)
		m.restart()
	}},
	{"killed while it ends", func(f *faultInjector, m *machine) {
		m.signal(syscall.SIGTERM)
		time.Sleep(f.drawDuration(10*time.Millisecond, 2*time.Second))
		m.kill()
		m.start()
	}},
	{"told to end while it reloads", func(f *faultInjector, m *machine) {
		f.reload(m)
		time.Sleep(f.drawDuration(time.Millisecond, 50*time.Millisecond))
		m.signal(syscall.SIGTERM)
		m.restart()
	}},
	{"reloads while it ends", func(f *faultInjector, m *machine) {
		m.signal(syscall.SIGTERM)
		time.Sleep(f.drawDuration(10*time.Millisecond, time.Second))
		f.reload(m)
		m.restart()
	}},
	{"killed", func(f *faultInjector, m *machine) {
		m.kill()
		time.Sleep(f.drawDuration(50*time.Millisecond, 2*time.Second))
		m.start()
	}},
	{"killed while it joins", func(f *faultInjector, m *machine) {
		for range 2 {
			m.kill()
			m.start()
			time.Sleep(f.drawDuration(50*time.Millisecond, 600*time.Millisecond))
		}
		m.kill()
		m.start()
	}},
	{"reloads as it begins", func(f *faultInjector, m *machine) {
		m.kill()
		m.start()
		time.Sleep(f.drawDuration(time.Millisecond, 200*time.Millisecond))
		f.reload(m)
		time.Sleep(f.drawDuration(50*time.Millisecond, 100*time.Millisecond))
		m.start() // again, if SIGHUP terminated it during startup
	}},
	{"stands still", func(f *faultInjector, m *machine) {
		m.signal(syscall.SIGSTOP)
		time.Sleep(f.drawDuration(200*time.Millisecond, 3*time.Second))
		m.signal(syscall.SIGCONT)
	}},
	{"reloads again and again", func(f *faultInjector, m *machine) {
		for range 5 {
			f.reload(m)
			time.Sleep(f.drawDuration(5*time.Millisecond, 100*time.Millisecond))
		}
	}},
}

var edgeScenarios = []scenario{
	{"agent alone killed", func(f *faultInjector, m *machine) {
		m.process(roleAgent).kill()
		time.Sleep(f.drawDuration(10*time.Millisecond, time.Second))
		m.start()
	}},
	{"proxy alone killed", func(f *faultInjector, m *machine) {
		m.process(roleProxy).kill()
		m.start()
	}},
}

var controlScenarios = []scenario{
	{"disk lost", func(f *faultInjector, m *machine) { f.wipeDisk(m) }},
	{"disk lost, killed while it joins", func(f *faultInjector, m *machine) {
		f.wipeDisk(m)
		time.Sleep(f.drawDuration(50*time.Millisecond, time.Second))
		m.kill()
		m.start()
	}},
}
