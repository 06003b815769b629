package maintenanceagent

import "time"

// Record is the work on one server under one grant. Its JSON is part of reports.
type Record struct {
	Agent            string    `json:"mechanic"`
	Server           string    `json:"box"`
	Token            uint64    `json:"token"`            // fencing token of the grant
	ForcedReason     string    `json:"forced,omitempty"` // the text of the grant, if the server was granted by force
	StartedAt        time.Time `json:"from"`
	EndedAt          time.Time `json:"to"`             // zero while the work goes on
	CompletionErrors []string  `json:"said,omitempty"` // answers that refused the completion
}
