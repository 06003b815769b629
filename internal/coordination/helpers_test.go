package coordination

import (
	"log/slog"
	"math/rand/v2"

	"hazelwheel/internal/netio"
	"hazelwheel/internal/peers"
)

// clockLoop is an event loop with a clock that tests set. A dial never finishes.
type clockLoop struct {
	netio.EventLoop
	now  float64
	link *peers.Link // of the last dial
}

func (l *clockLoop) Now() float64 { return l.now }

func (l *clockLoop) Dial(_ string, _ float64, context any, _ func(error)) (stop func()) {
	l.link = context.(*peers.Link)
	return func() {}
}

// newTestNode returns a node that has roles and one link, over which nothing is sent, but neither membership nor lease node.
func newTestNode(o Options) (*Node, *clockLoop) {
	loop := &clockLoop{now: 100}
	o.Rand = rand.New(rand.NewPCG(1, 2))
	n := &Node{loop: loop, log: slog.New(slog.DiscardHandler), links: map[int]*peers.Link{}, options: o}
	n.roles = newRoleManager(n)
	peers.New("yard", 1, n, loop, n.log).Dial("x:1")
	return n, loop
}
