package coordination

import (
	"hazelwheel/internal/decide/maintenance"
)

// The job "works": its owner settles in which order boxes are taken out for work on them. What is settled is a record that the electors
// keep; the owner tells all of each version, and who lacks one is told by a neighbour. A sidecar keeps the boxes out that the version
// by which it goes says are out, over a restart too. While a plan goes on the owner asks all, again and again, what they say of the
// boxes; the question goes over all links, and each answers over the link by which it first came, with what came from those behind it.
// Commands go over all links until they come to the owner, and its answers back the same way.
const (
	worksName = "works"

	kindAgreed  = 1 // agreedWord, to all, or over one link to who lacks it
	kindWorkAsk = 2 // worksQuestion, to all
	kindSum     = 3 // worksSum, over one link
	kindCommand = 4 // works.Command, over one link after the other to the owner
	kindReply   = 5 // works.Reply, to all
	kindHold    = 6 // heldWord, over one link

	// workRoundS is between the begins of two rounds, and workWithinS how long one takes at most.
	workRoundS, workWithinS = 0.5, 1.5
	workGatherS             = 0.06 // in which answers of others are waited for, to go on with one's own
	// signS is between two words of the owner while a plan goes on, restS while none does.
	signS, restS = 1.0, 10.0
	// writeAgainS is between two tries to have a version agreed, and commandAgainS between two of who has not been answered.
	writeAgainS, commandAgainS = 0.3, 0.4
	// askedForS is how long a command is passed on after it was asked for last, and repliedForS an answer kept for who asks again.
	askedForS, repliedForS = 3.0, 60.0
	mostCommands           = 256 // that are remembered
)

// agreedWord is what is agreed, or that it is so still.
type agreedWord struct {
	Epoch   uint64                `msgpack:"e"`
	Version uint64                `msgpack:"v"`
	Body    []byte                `msgpack:"b,omitempty"` // of the record; nil: who lacks the version asks for it
	Waits   []maintenance.Blocker `msgpack:"w,omitempty"`
	Ages    []planAge             `msgpack:"a,omitempty"`
	Owner   string                `msgpack:"o,omitempty"` // its name; empty: it is not the owner's word
}

// planAge is since when a plan was given, by the clocks that ran since.
type planAge struct {
	Plan uint64  `msgpack:"p"`
	AgeS float64 `msgpack:"s"`
}

// heldWord says by which version a sidecar goes.
type heldWord struct {
	Epoch   uint64 `msgpack:"e"`
	Version uint64 `msgpack:"v"`
}

type worksQuestion struct {
	Round   uint64 `msgpack:"r"`
	Epoch   uint64 `msgpack:"e"`
	Version uint64 `msgpack:"v"`
}

type worksSum struct {
	Round uint64             `msgpack:"r"`
	Sum   maintenance.Report `msgpack:"s"`
}
