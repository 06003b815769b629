package coordination

import "hazelwheel/internal/decide/maintenance"

// The messages of the role "works". The numbers are the wire form.
const (
	kindRecord         = 1 // recordMessage, from the holder to all, or over one link to a sidecar that lacks the version
	kindSurveyRequest  = 2 // surveyRequest, from the holder to all
	kindSurveyResponse = 3 // surveyResponse, over the link to the parent, towards the holder
	kindCommand        = 4 // maintenance.Command, forwarded from link to link to the holder
	kindCommandReply   = 5 // maintenance.Reply, from the holder to all
	kindRecordVersion  = 6 // recordVersion, over one link to a neighbor
)

// recordMessage announces the committed record.
type recordMessage struct {
	Epoch    uint64                `msgpack:"e"`           // of the voters' founding
	Version  uint64                `msgpack:"v"`           // within the epoch; 0: nothing is committed
	Body     []byte                `msgpack:"b,omitempty"` // a maintenance.State; nil: receivers without the version request it
	Blockers []maintenance.Blocker `msgpack:"w,omitempty"` // what the plans wait for
	PlanAges []planAge             `msgpack:"a,omitempty"`
	Holder   string                `msgpack:"o,omitempty"` // holder's name; empty: not sent by the holder, and Blockers and PlanAges are not set
}

// planAge is how long ago a plan was submitted, by the clocks of all holders since.
type planAge struct {
	Plan       uint64  `msgpack:"p"`
	AgeSeconds float64 `msgpack:"s"`
}

// recordVersion states which version of the record a sidecar has applied.
type recordVersion struct {
	Epoch   uint64 `msgpack:"e"`
	Version uint64 `msgpack:"v"`
}

// surveyRequest asks all members for a report of the servers.
type surveyRequest struct {
	Round   uint64 `msgpack:"r"`
	Epoch   uint64 `msgpack:"e"` // of the holder's record
	Version uint64 `msgpack:"v"`
}

// surveyResponse is the sum of the reports of some members.
type surveyResponse struct {
	Round  uint64             `msgpack:"r"`
	Report maintenance.Report `msgpack:"s"`
}
