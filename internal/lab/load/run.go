package load

import (
	"context"
	"sync"
	"time"
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
