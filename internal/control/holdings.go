package control

import (
	"encoding/json"
	"net/http"
)

// holdings is what a control process tells of its copy, for people and their tools.
type holdings struct {
	Identity      string       `json:"Identity"`      // of the disk
	Votes         bool         `json:"Votes"`         // as far as this process has heard
	Epoch         uint64       `json:"Epoch"`         // of the value on the disk
	Version       uint64       `json:"Version"`       // of the configuration on the disk
	Bytes         int          `json:"Bytes"`         // of that configuration, 0: they are not here
	Ballot        uint64       `json:"Ballot"`        // round of the ballot at which the value was accepted or learned
	Told          uint64       `json:"Told"`          // version that this process tells others, 0: none
	TouchMajority bool         `json:"TouchMajority"` // whether it is in touch with a majority of the voters
	Voters        []voterTouch `json:"Voters"`
}

// voterTouch is a voter as a control process sees it.
type voterTouch struct {
	Identity string `json:"Identity"`
	Address  string `json:"Address"`
	InTouch  bool   `json:"InTouch"`
}

func (c *Control) holdings() holdings {
	state := c.replica.state()
	facts, _ := c.node.Facts()
	out := holdings{Identity: state.ID, Votes: c.votes(&facts.Voters), Epoch: state.Value.Epoch, Version: state.Value.Version,
		Bytes: len(c.replica.configBytes(state.Value.Config)), Ballot: state.Ballot.Round, TouchMajority: c.reachesMajority()}
	if facts.Table != nil {
		out.Told = facts.Table.Version
	}
	for _, voter := range facts.Voters.Everyone() {
		out.Voters = append(out.Voters, voterTouch{Identity: voter.ID, Address: voter.Address, InTouch: c.inTouch(voter)})
	}
	return out
}

// serveHoldings answers with JSON.
func (c *Control) serveHoldings(w http.ResponseWriter, _ *http.Request) {
	data, err := json.MarshalIndent(c.holdings(), "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", jsonType)
	_, _ = w.Write(append(data, '\n')) // who asked and is gone asks again
}
