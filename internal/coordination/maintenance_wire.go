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
	maintenanceRoleName = "works"

	kindRecord         = 1 // agreedWord, to all, or over one link to who lacks it
	kindSurveyRequest  = 2 // worksQuestion, to all
	kindSurveyResponse = 3 // worksSum, over one link
	kindCommand        = 4 // works.Command, over one link after the other to the owner
	kindCommandReply   = 5 // works.Reply, to all
	kindRecordVersion  = 6 // heldWord, over one link

	// surveyIntervalSeconds is between the begins of two rounds, and workWithinS how long one takes at most.
	surveyIntervalSeconds, surveyTimeoutSeconds = 0.5, 1.5
	surveyGatherSeconds                         = 0.06 // in which answers of others are waited for, to go on with one's own
	// announceIntervalSeconds is between two words of the owner while a plan goes on, restS while none does.
	announceIntervalSeconds, idleAnnounceIntervalSeconds = 1.0, 10.0
	// writeRetrySeconds is between two tries to have a version agreed, and commandAgainS between two of who has not been answered.
	writeRetrySeconds, commandRetrySeconds = 0.3, 0.4
	// commandInterestSeconds is how long a command is passed on after it was asked for last, and repliedForS an answer kept for who asks again.
	commandInterestSeconds, replyRetentionSeconds = 3.0, 60.0
	maxCommands                                   = 256 // that are remembered
)

// recordMessage is what is agreed, or that it is so still.
type recordMessage struct {
	Epoch    uint64                `msgpack:"e"`
	Version  uint64                `msgpack:"v"`
	Body     []byte                `msgpack:"b,omitempty"` // of the record; nil: who lacks the version asks for it
	Blockers []maintenance.Blocker `msgpack:"w,omitempty"`
	PlanAges []planAge             `msgpack:"a,omitempty"`
	Holder   string                `msgpack:"o,omitempty"` // its name; empty: it is not the owner's word
}

// planAge is since when a plan was given, by the clocks that ran since.
type planAge struct {
	Plan       uint64  `msgpack:"p"`
	AgeSeconds float64 `msgpack:"s"`
}

// recordVersion says by which version a sidecar goes.
type recordVersion struct {
	Epoch   uint64 `msgpack:"e"`
	Version uint64 `msgpack:"v"`
}

type surveyRequest struct {
	Round   uint64 `msgpack:"r"`
	Epoch   uint64 `msgpack:"e"`
	Version uint64 `msgpack:"v"`
}

type surveyResponse struct {
	Round  uint64             `msgpack:"r"`
	Report maintenance.Report `msgpack:"s"`
}
