package control

import (
	"encoding/json"
	"net/http"
)

// holdings is what a control process tells of its copy, for people and their tools.
type replicaStatus struct {
	Identity         string        `json:"Identity"`      // of the disk
	IsVoter          bool          `json:"Votes"`         // as far as this process has heard
	Epoch            uint64        `json:"Epoch"`         // of the value on the disk
	ConfigVersion    uint64        `json:"Version"`       // of the configuration on the disk
	ConfigBytes      int           `json:"Bytes"`         // of that configuration, 0: they are not here
	BallotRound      uint64        `json:"Ballot"`        // round of the ballot at which the value was accepted or learned
	PublishedVersion uint64        `json:"Told"`          // version that this process tells others, 0: none
	ReachesMajority  bool          `json:"TouchMajority"` // whether it is in touch with a majority of the voters
	Voters           []voterStatus `json:"Voters"`
}

// voterTouch is a voter as a control process sees it.
type voterStatus struct {
	Identity  string `json:"Identity"`
	Address   string `json:"Address"`
	Reachable bool   `json:"InTouch"`
}

func (c *Control) status() replicaStatus {
	state := c.replica.state()
	facts, _ := c.node.State()
	status := replicaStatus{Identity: state.ID, IsVoter: c.isVoter(&facts.Voters), Epoch: state.Value.Epoch, ConfigVersion: state.Value.ConfigVersion,
		ConfigBytes: len(c.replica.configBytes(state.Value.ConfigDigest)), BallotRound: state.Accepted.Number, ReachesMajority: c.reachesMajority()}
	if facts.Table != nil {
		status.PublishedVersion = facts.Table.Version
	}
	for _, voter := range facts.Voters.AllVoters() {
		status.Voters = append(status.Voters, voterStatus{Identity: voter.ID, Address: voter.Address, Reachable: c.isReachable(voter)})
	}
	return status
}

// serveHoldings answers with JSON.
func (c *Control) handleStatus(w http.ResponseWriter, _ *http.Request) {
	data, err := json.MarshalIndent(c.status(), "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", jsonType)
	_, _ = w.Write(append(data, '\n')) // who asked and is gone asks again
}
