package load

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Run carries out a plan. It returns when its time is over and what is out has been answered, at most the client's
// patience later. When ctx ends before, the result holds what came until then, with ctx's error beside it. Any other
// error says that the plan could not begin, and the result is nil.
func Run(ctx context.Context, p *Plan) (*Result, error) {
	r, err := run(ctx, p)
	if r == nil {
		return nil, err
	}
	if err := r.finish(p.Length()); err != nil {
		return nil, err
	}
	r.judge(p, 1)
	return r, err
}

// RunAll carries out a plan against several sidecars at once, each with its part of the links and of the rate; the plan's
// threads are for each. It returns what came of it all, as Run does.
func RunAll(ctx context.Context, p *Plan, targets []string) (*Result, error) {
	if len(targets) > mostSidecars {
		return nil, fmt.Errorf("target: %d, more than %d", len(targets), mostSidecars)
	}
	if p.Links < len(targets)*p.Threads {
		return nil, fmt.Errorf("links: %d are not one for each thread of %d targets", p.Links, len(targets))
	}
	results, errs := make([]*Result, len(targets)), make([]error, len(targets))
	var all sync.WaitGroup
	for i, target := range targets {
		part := *p
		part.Target, part.Seed = target, p.Seed+uint64(i)<<32
		if part.Links = p.Links / len(targets); i < p.Links%len(targets) {
			part.Links++
		}
		part.Stages = nil
		for _, s := range p.Stages {
			part.Stages = append(part.Stages, Stage{s.From / float64(len(targets)), s.To / float64(len(targets)), s.For})
		}
		all.Go(func() { results[i], errs[i] = run(ctx, &part) })
	}
	all.Wait()
	sum := newResult(p)
	for i, r := range results {
		if r == nil {
			return nil, errs[i]
		}
		r.seen.of(i)
		sum.merge(r)
		sum.BeganMS = r.BeganMS
	}
	if err := sum.finish(p.Length()); err != nil {
		return nil, err
	}
	sum.judge(p, len(targets))
	return sum, ctx.Err()
}

// run does so, with what is reported still to be worked out.
func run(ctx context.Context, p *Plan) (*Result, error) {
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
	if p.Began != nil {
		p.Began(began)
	}
	for _, w := range workers {
		w.result.BeganMS = began.UnixMilli()
	}
	for range workers { // Danger: any of them may take any word
		start <- began
	}
	all.Wait()
	sum := newResult(p)
	sum.BeganMS = began.UnixMilli()
	for _, w := range workers {
		sum.merge(w.result)
	}
	return sum, ctx.Err()
}
