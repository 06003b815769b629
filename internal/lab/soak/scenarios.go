package soak

import (
	"syscall"
	"time"
)

// series is what is done to one machine, step by step.
type scenario struct {
	name string
	run  func(p *faultInjector, m *machine)
}

// Each of these leaves its machine running. Steps come while the one before is still at work.
var commonScenarios = []scenario{
	{"restart", func(p *faultInjector, m *machine) { m.signal(syscall.SIGTERM); m.restart() }},
	{"told to end twice", func(p *faultInjector, m *machine) {
		m.signal(syscall.SIGTERM)
		time.Sleep(p.drawDuration(10*time.Millisecond, time.Second))
		m.signal(syscall.SIGTERM)
		m.restart()
	}},
	{"killed while it ends", func(p *faultInjector, m *machine) {
		m.signal(syscall.SIGTERM)
		time.Sleep(p.drawDuration(10*time.Millisecond, 2*time.Second))
		m.kill()
		m.start()
	}},
	{"told to end while it reloads", func(p *faultInjector, m *machine) {
		p.reload(m)
		time.Sleep(p.drawDuration(time.Millisecond, 50*time.Millisecond))
		m.signal(syscall.SIGTERM)
		m.restart()
	}},
	{"reloads while it ends", func(p *faultInjector, m *machine) {
		m.signal(syscall.SIGTERM)
		time.Sleep(p.drawDuration(10*time.Millisecond, time.Second))
		p.reload(m)
		m.restart()
	}},
	{"killed", func(p *faultInjector, m *machine) {
		m.kill()
		time.Sleep(p.drawDuration(50*time.Millisecond, 2*time.Second))
		m.start()
	}},
	{"killed while it joins", func(p *faultInjector, m *machine) {
		for range 2 {
			m.kill()
			m.start()
			time.Sleep(p.drawDuration(50*time.Millisecond, 600*time.Millisecond))
		}
		m.kill()
		m.start()
	}},
	{"reloads as it begins", func(p *faultInjector, m *machine) {
		m.kill()
		m.start()
		time.Sleep(p.drawDuration(time.Millisecond, 200*time.Millisecond))
		p.reload(m)
		time.Sleep(p.drawDuration(50*time.Millisecond, 100*time.Millisecond))
		m.start() // for one that had not begun
	}},
	{"stands still", func(p *faultInjector, m *machine) {
		m.signal(syscall.SIGSTOP)
		time.Sleep(p.drawDuration(200*time.Millisecond, 3*time.Second))
		m.signal(syscall.SIGCONT)
	}},
	{"reloads again and again", func(p *faultInjector, m *machine) {
		for range 5 {
			p.reload(m)
			time.Sleep(p.drawDuration(5*time.Millisecond, 100*time.Millisecond))
		}
	}},
}

var edgeScenarios = []scenario{
	{"agent alone killed", func(p *faultInjector, m *machine) {
		m.process(roleAgent).kill()
		time.Sleep(p.drawDuration(10*time.Millisecond, time.Second))
		m.start()
	}},
	{"proxy alone killed", func(p *faultInjector, m *machine) {
		m.process(roleProxy).kill()
		m.start()
	}},
}

var controlScenarios = []scenario{
	{"disk lost", func(p *faultInjector, m *machine) { p.wipeDisk(m) }},
	{"disk lost, killed while it joins", func(p *faultInjector, m *machine) {
		p.wipeDisk(m)
		time.Sleep(p.drawDuration(50*time.Millisecond, time.Second))
		m.kill()
		m.start()
	}},
}
