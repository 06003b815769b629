package coordination

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Report is how the requests of the whole fleet have fared since the report before.
type Report struct {
	Owner          string        `json:"owner" msgpack:"o"`
	Token          uint64        `json:"token" msgpack:"t"`
	Round          uint64        `json:"round" msgpack:"r"`
	Asked          int           `json:"asked" msgpack:"a"` // members that lived when they were asked, or died within the minute before
	Answered       int           `json:"answered" msgpack:"n"`
	Missing        []string      `json:"missing,omitempty" msgpack:"m,omitempty"` // names of those that did not answer in time
	OmittedMissing int           `json:"more_missing,omitempty" msgpack:"x,omitempty"`
	Classes        []ClassReport `json:"classes" msgpack:"c"`
	AgeSeconds     float64       `json:"age_s" msgpack:"-"` // since this sidecar heard it
}

// ClassReport is how the requests of a class have fared. Times are in milliseconds, to answer those that were served.
type ClassReport struct {
	Class         string  `json:"class" msgpack:"c"`
	RatePerSecond float64 `json:"per_s" msgpack:"p"`
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

// Report returns the last report that was heard. Where none was, the error names the owner.
func (f *Node) Report() (rep Report, err error) {
	seen, err := f.LeaseStatus()
	if err != nil {
		return rep, err
	}
	i := slices.IndexFunc(seen.Roles, func(j RoleStatus) bool { return j.Role == reportRoleName })
	if i < 0 {
		return rep, errNoReport
	}
	if r, ok := f.roles.state(reportRoleName).role.(*reportRole); ok && r.lastReport != nil {
		rep = *r.lastReport
		rep.AgeSeconds = math.Round(10*(f.net.Now()-r.lastReportAt)) / 10
		return rep, nil
	}
	switch j := seen.Roles[i]; {
	case j.Owner == "":
		return rep, errNoReport
	case !j.Capable:
		return rep, fmt.Errorf("this sidecar takes no part in reports: ask %s (%s), which makes them", j.OwnerName, j.Owner)
	default:
		return rep, fmt.Errorf("no report has come yet from %s (%s), which makes them", j.OwnerName, j.Owner)
	}
}

var errNoReport = errors.New("nobody makes a report at the moment")
