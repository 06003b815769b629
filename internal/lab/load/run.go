package load

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Run carries out a plan. It returns when its time is over and what is out has been answered, at most the client's
// patience later. When ctx ends before, the result holds what came until then, with ctx's error beside it. Any other
// error says that the plan could not begin, and the result is nil.
func Run(ctx context.Context, p *Plan) (*Result, error) {
	if err := p.Err(); err != nil {
		return nil, err
	}
	var workers []*worker
	for i := range p.Threads {
		w, err := newWorker(ctx, p, i)
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	var all sync.WaitGroup
	ready, start := make(chan struct{}, p.Threads), make(chan time.Time, p.Threads)
	for _, w := range workers {
		all.Go(func() { w.run(start, ready) })
	}
	for range workers {
		<-ready
	}
	began := time.Now().Add(5 * time.Millisecond)
	for _, w := range workers {
		w.result.BeganMS = began.UnixMilli()
		start <- began
	}
	all.Wait()
	sum := newResult(p)
	sum.BeganMS = began.UnixMilli()
	for _, w := range workers {
		sum.merge(w.result)
	}
	if err := sum.finish(p); err != nil {
		return nil, err
	}
	return sum, ctx.Err()
}

// addresses returns where a plan's connections go and where they come from.
func addresses(p *Plan) (to, from unix.Sockaddr, family int, err error) {
	target, err := netip.ParseAddrPort(p.Target)
	if err != nil {
		return nil, nil, 0, err
	}
	family = unix.AF_INET
	if target.Addr().Is6() {
		family = unix.AF_INET6
	}
	if p.From.IsValid() {
		if p.From.Is6() != target.Addr().Is6() {
			return nil, nil, 0, fmt.Errorf("from: %s and the target %s are not of one family", p.From, p.Target)
		}
		from = sockaddr(netip.AddrPortFrom(p.From, 0))
	}
	return sockaddr(target), from, family, nil
}

func sockaddr(a netip.AddrPort) unix.Sockaddr {
	if a.Addr().Is6() {
		return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
	}
	return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
}
