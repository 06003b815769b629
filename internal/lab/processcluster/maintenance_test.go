package processcluster

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/lab/maintenanceagent"
)

// Each violation by a maintenance run is found, and what is close to one and allowed is not.
func TestMaintenanceViolations(t *testing.T) {
	type visit struct{ from, to float64 } // an execution at server a, of sidecar 0; to is 0 if it never ends
	piece := func(box string, token uint64, from, to float64) maintenanceagent.Record {
		at := func(s float64) time.Time { return time.Unix(0, int64(s*1e9)) }
		r := maintenanceagent.Record{Agent: "anna", Server: box, Token: token, StartedAt: at(from)}
		if to > 0 {
			r.EndedAt = at(to)
		}
		return r
	}
	usual := []maintenanceagent.Record{piece("a", 1, 1000, 1010), piece("b", 2, 1020, 1030)}
	forced := piece("a", 1, 1000, 1010)
	forced.ForcedReason = "forced by an operator"
	done, cold := maintenance.Done, maintenance.WarmingUp
	for name, k := range map[string]struct {
		visits  []visit
		away    []absence
		records []maintenanceagent.Record
		stages  [2]maintenance.Stage // of a and b
		why     string               // of a
		want    []checker.Rule
		gone    int
	}{
		"all is well":                      {[]visit{{900, 998}, {998.9, 998.95}, {1011, 1012}}, nil, usual, [2]maintenance.Stage{done, cold}, "", nil, 0},
		"sent while it is worked on":       {[]visit{{1005, 1005.1}}, nil, usual, [2]maintenance.Stage{done, done}, "", []checker.Rule{checker.MaintenanceOccupied}, 0},
		"sent just before":                 {[]visit{{999.5, 999.6}}, nil, usual, [2]maintenance.Stage{done, done}, "", []checker.Rule{checker.MaintenanceOccupied}, 0},
		"out since long":                   {[]visit{{900, 1000.1}}, nil, usual, [2]maintenance.Stage{done, done}, "", []checker.Rule{checker.MaintenanceOccupied}, 0},
		"out for ever":                     {[]visit{{900, 0}}, nil, usual, [2]maintenance.Stage{done, done}, "", []checker.Rule{checker.MaintenanceOccupied}, 0},
		"by force":                         {[]visit{{900, 0}}, nil, []maintenanceagent.Record{forced}, [2]maintenance.Stage{done, done}, "", []checker.Rule{checker.MaintenanceRecorded}, 0},
		"of one that had counted as gone":  {[]visit{{1005, 1005.1}}, []absence{{0, 900, 1004}}, usual, [2]maintenance.Stage{done, done}, "", nil, 1},
		"of one that was away too shortly": {[]visit{{1005, 1005.1}}, []absence{{0, 950, 1004}}, usual, [2]maintenance.Stage{done, done}, "", []checker.Rule{checker.MaintenanceOccupied}, 0},
		"while the one before is cold": {nil, nil, []maintenanceagent.Record{piece("a", 1, 1000, 1010), piece("b", 2, 1014, 1030)}, [2]maintenance.Stage{done, done}, "",
			[]checker.Rule{checker.MaintenanceBudget}, 0},
		"twice":                            {nil, nil, append([]maintenanceagent.Record{piece("a", 7, 1040, 1050)}, usual...), [2]maintenance.Stage{done, done}, "", []checker.Rule{checker.MaintenanceRepeated}, 0},
		"gone on with by one who had died": {nil, nil, append([]maintenanceagent.Record{piece("a", 1, 990, 995)}, usual...), [2]maintenance.Stage{done, done}, "", nil, 0},
		"nobody has done it":               {nil, nil, usual[:1], [2]maintenance.Stage{done, done}, "", []checker.Rule{checker.MaintenanceRecorded}, 0},
		"done and forgotten":               {nil, nil, usual, [2]maintenance.Stage{maintenance.Pending, done}, "", []checker.Rule{checker.MaintenanceRecorded}, 0},
		"skipped for no cause":             {nil, nil, usual[1:], [2]maintenance.Stage{maintenance.Skipped, done}, "", []checker.Rule{checker.MaintenanceRecorded}, 0},
		"skipped":                          {nil, nil, usual[1:], [2]maintenance.Stage{maintenance.Skipped, done}, "by an operator", nil, 0},
	} {
		day := &environment.Day{Start: 950, LengthSeconds: 100, InitialServers: 2, Sites: []string{"x"}, Servers: []environment.ServerSpec{{Name: "a"}, {Name: "b"}}}
		play := &Cluster{members: []*member{{name: "n0"}}, absences: k.away}
		p := newMaintenanceRun(play, Maintenance{Spec: maintenance.Spec{Servers: []string{"a", "b"}, MaxConcurrent: 1, MaxPerSite: 2, WarmUpSeconds: 5, DeadMemberSeconds: 100}}, day)
		for i, v := range k.visits {
			p.Observe(checker.Event{Kind: checker.AttemptReceived, At: v.from, Connection: uint64(i)})
			if v.to > 0 {
				p.Observe(checker.Event{Kind: checker.ResponseSent, At: v.to, Connection: uint64(i)})
			}
		}
		p.submittedAt, p.endedAt, p.scriptRecords = 960, 1049, k.records
		p.lastState = &maintenanceState{Plans: []maintenance.Plan{{Servers: []maintenance.Server{{Name: "a", Stage: k.stages[0], Reason: k.why}, {Name: "b", Stage: k.stages[1]}}}}}
		w := p.finish()
		var got []checker.Rule
		for _, line := range w.Violations {
			rule, _, _ := strings.Cut(line, ":")
			got = append(got, checker.Rule(rule))
		}
		assert.Equal(t, k.want, got, "%s: %v", name, w.Violations)
		assert.Equal(t, k.gone, w.SentByReturning, name)
	}
}

// The worst ten seconds are found, by the priority weight that was answered within the latency target of its class.
func TestMaintenanceServiceIsMeasured(t *testing.T) {
	class := environment.ClassSpec{LatencyTargetSeconds: 1}
	class.PriorityWeight = 2
	day := &environment.Day{Start: 1000, LengthSeconds: 100, Classes: []environment.ClassSpec{class}}
	p := newMaintenanceRun(&Cluster{}, Maintenance{Spec: maintenance.Spec{MaxConcurrent: 1}, Scripted: true}, day)
	for i := range 100 {
		at, id := 1000+float64(i), uint64(i+1)
		p.Observe(checker.Event{Kind: checker.RequestStarted, At: at, Request: id, FirstRequest: id})
		switch {
		case i >= 40 && i < 44:
			p.Observe(checker.Event{Kind: checker.ResponseReceived, At: at + 0.1, Request: id, Status: 503})
		case i >= 60 && i < 65:
			p.Observe(checker.Event{Kind: checker.ResponseReceived, At: at + 1.5, Request: id, Status: 200})
		default:
			p.Observe(checker.Event{Kind: checker.ResponseReceived, At: at + 0.5, Request: id, Status: 200})
		}
	}
	p.submittedAt, p.endedAt = 1000, 1100
	w := p.finish()
	assert.InDelta(t, 0.5, w.WorstTenSeconds, 1e-9)
	assert.InDelta(t, 55, w.WorstAtSeconds, 1)
	assert.Equal(t, 95, w.Attempts, "the first five seconds do not count")
	assert.Equal(t, 4, w.Rejected)
}
