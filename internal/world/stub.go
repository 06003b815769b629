package world

import (
	"hazelwheel/internal/judge"
	"hazelwheel/internal/netio"
)

type keyMemory struct{}

type Box struct {
	Spec BoxSpec
	keys *keyMemory
}

func NewBox(d *Day, number int, w judge.Witness) *Box { return &Box{Spec: d.Boxes[number]} }
func (b *Box) Boot(net netio.Net) netio.Host          { return nil }

type Registry struct{}

func NewRegistry(d *Day, w judge.Witness) *Registry             { return &Registry{} }
func (r *Registry) Boot(address int) func(netio.Net) netio.Host { return nil }

type Application struct{}

func NewApplication(d *Day, sidecar int, w judge.Witness) *Application { return &Application{} }
func (a *Application) Boot(net netio.Net) netio.Host                   { return nil }

type Mischief struct{}

func NewMischief(d *Day, sidecar int, a *Application, w judge.Witness) *Mischief { return &Mischief{} }
func (m *Mischief) Boot(net netio.Net) netio.Host                                { return nil }

// Player plays a script's troubles at their times.
type Player struct{}

// NewPlayer returns one that has played nothing.
func NewPlayer(w *World, s Script, g Ground, witness judge.Witness) (*Player, error) {
	return &Player{}, nil
}

// Next returns when the next step is due; false: nothing is left.
func (p *Player) Next() (at float64, ok bool) { return 0, false }

// Play does what is due.
func (p *Player) Play(now float64) {}

// Configuration returns the configuration of a sidecar as the platform would write it now. Discovery's present address
// and what it knows are in it; the witness is told of these as of anything told.
func (w *World) Configuration(sidecar int, now float64) []byte { return nil }
