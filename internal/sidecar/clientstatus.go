package sidecar

import (
	"encoding/json"

	"hazelwheel/internal/decide/admission"
)

// maxShownAddresses bounds the number of addresses in the client status.
const maxShownAddresses = 200

// ClientStatus returns the admission state of client addresses as a line of JSON.
func (s *Sidecar) ClientStatus() []byte {
	var status struct {
		Links     int                `json:"links"`
		Most      int                `json:"most"`
		Reserve   int                `json:"reserve"`
		Addresses int                `json:"addresses"`
		Clients   []admission.Client `json:"clients"`
	}
	settings := s.admissionSettings(0)
	status.Links, status.Most, status.Reserve = s.clients.admission.Len(), settings.MaxConns, settings.ReservedForKnown
	status.Clients, status.Addresses = s.clients.admission.Clients(maxShownAddresses)
	raw, err := json.Marshal(status)
	if err != nil { // numbers and names always marshal
		panic(err)
	}
	return append(raw, '\n')
}
