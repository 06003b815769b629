package control

import (
	"encoding/json"
	"net/http"
)

// replicaStatus is what a control process reports about its replica. Operators and their tools read it, so the JSON keys must not change.
type replicaStatus struct {
	Identity         string        `json:"Identity"`      // of the disk
	IsVoter          bool          `json:"Votes"`         // it votes, and no reconfiguration is in progress, as far as this process knows
	Epoch            uint64        `json:"Epoch"`         // of the value on disk
	ConfigVersion    uint64        `json:"Version"`       // of the configuration of that value
	ConfigBytes      int           `json:"Bytes"`         // size of that configuration, 0: not in memory
	BallotRound      uint64        `json:"Ballot"`        // round of the ballot at which that value was accepted or learned
	PublishedVersion uint64        `json:"Told"`          // of the configuration that this process gossips, 0: none
	ReachesMajority  bool          `json:"TouchMajority"` // whether a majority of the voters is reachable
	Voters           []voterStatus `json:"Voters"`
}

// voterStatus is a voter as this process sees it.
type voterStatus struct {
	Identity  string `json:"Identity"`
	Address   string `json:"Address"`
	Reachable bool   `json:"InTouch"`
}

// status returns the current status. Its parts are read one after the other, so they may not match each other.
func (c *Control) status() replicaStatus {
	state := c.replica.state()
	gossipState, _ := c.node.State()
	// Danger: during a reconfiguration a majority of the outgoing voters is needed as well. An operator who already counted a new process as a
	// voter and replaced the next disk would lose two of three outgoing voters, and no change would be accepted any longer.
	isVoter := c.isVoter(&gossipState.Voters) && len(gossipState.Voters.OutgoingVoters) == 0
	status := replicaStatus{Identity: state.ID, IsVoter: isVoter, Epoch: state.Value.Epoch, ConfigVersion: state.Value.ConfigVersion,
		ConfigBytes: len(c.replica.configBytes(state.Value.ConfigDigest)), BallotRound: state.Accepted.Number, ReachesMajority: c.reachesMajority()}
	if gossipState.Table != nil {
		status.PublishedVersion = gossipState.Table.Version
	}
	for _, voter := range gossipState.Voters.AllVoters() {
		status.Voters = append(status.Voters, voterStatus{Identity: voter.ID, Address: voter.Address, Reachable: c.isReachable(voter)})
	}
	return status
}

// handleStatus answers with the status as indented JSON.
func (c *Control) handleStatus(w http.ResponseWriter, _ *http.Request) {
	data, err := json.MarshalIndent(c.status(), "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", jsonType)
	_, _ = w.Write(append(data, '\n')) // a client that has disconnected retries
}
