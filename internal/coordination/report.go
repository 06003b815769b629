package coordination

import (
	"errors"
	"fmt"
	"slices"
)

// Report holds statistics of the requests of all sidecars since the previous report. It is sent to all members and is the response to
// the admin command REPORT.
type Report struct {
	Holder         string        `json:"owner" msgpack:"o"` // name of the holder that made the report
	Token          uint64        `json:"token" msgpack:"t"`
	Round          uint64        `json:"round" msgpack:"r"`
	Requested      int           `json:"asked" msgpack:"a"`                       // members that were alive at the request, or had died less than a minute before
	Answered       int           `json:"answered" msgpack:"n"`                    // members whose statistics are included
	Missing        []string      `json:"missing,omitempty" msgpack:"m,omitempty"` // names of members that did not respond in time
	OmittedMissing int           `json:"more_missing,omitempty" msgpack:"x,omitempty"`
	Classes        []ClassReport `json:"classes" msgpack:"c"` // sorted by name
	AgeSeconds     float64       `json:"age_s" msgpack:"-"`   // since this sidecar received it
}

// ClassReport holds statistics of the requests of a class. Latencies are in milliseconds, of served requests.
type ClassReport struct {
	Class         string  `json:"class" msgpack:"c"`
	RatePerSecond float64 `json:"per_s" msgpack:"p"` // of ended requests
	Served        uint64  `json:"served" msgpack:"s"`
	Throttled     uint64  `json:"throttled" msgpack:"t"`
	Failed        uint64  `json:"failed" msgpack:"f"`
	Abandoned     uint64  `json:"abandoned" msgpack:"a"`
	P50           float64 `json:"p50_ms" msgpack:"5"`
	P90           float64 `json:"p90_ms" msgpack:"9"`
	P99           float64 `json:"p99_ms" msgpack:"99"`
	P999          float64 `json:"p999_ms" msgpack:"999"`
	Max           float64 `json:"max_ms" msgpack:"x"`
}

var errNoReport = errors.New("nobody makes a report at the moment")

// Report returns the last report that this sidecar received. If there is none, the error names the holder of the role; without voters
// it is ErrNoVoters. It must be called on the event loop.
func (n *Node) Report() (report Report, err error) {
	status, err := n.LeaseStatus()
	if err != nil {
		return report, err
	}
	i := slices.IndexFunc(status.Roles, func(s RoleStatus) bool { return s.Role == reportRoleName })
	if i < 0 {
		return report, errNoReport
	}
	if r, ok := n.roles.state(reportRoleName).role.(*reportRole); ok && r.lastReport != nil {
		report = *r.lastReport
		report.AgeSeconds = roundTenths(n.loop.Now() - r.lastReportAt)
		return report, nil
	}
	switch s := status.Roles[i]; {
	case s.Holder == "":
		return report, errNoReport
	case !s.Capable:
		return report, fmt.Errorf("this sidecar takes no part in reports: ask %s (%s), which makes them", s.HolderName, s.Holder)
	default:
		return report, fmt.Errorf("no report has come yet from %s (%s), which makes them", s.HolderName, s.Holder)
	}
}
