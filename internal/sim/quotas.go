package sim

import (
	"log/slog"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/decide/quota"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/featureconfig"
	"hazelwheel/internal/frontend/http1"
	"hazelwheel/internal/netio"
	"hazelwheel/internal/quotas"
	"hazelwheel/internal/rewrite"
	"hazelwheel/internal/sidecar"
	"hazelwheel/internal/sidecarconfig"
)

// The quotas of a day, as multiples of the traffic: the cities have twice what they request on average, the ministry a
// twentieth. The ministry may use what the cities leave up to its cap.
const (
	cityTimes          = 2.0
	ministryTimes      = 0.05
	ministryCap        = 1.5 // times its share
	quotaWindowSeconds = 5.0
)

// batchSpec returns a batch of reads at factor times the ministry's quota.
func batchSpec(d *environment.Day, times float64) *environment.BatchSpec {
	b := &environment.BatchSpec{RatePerSecond: times * ministryTimes * d.Clients.RatePerSecond, Organisation: "ministry"}
	for i, c := range d.Classes {
		if c.Effect == checker.Safe {
			b.Class = i
		}
	}
	return b
}

// quotaFactory returns the Factory of a sidecar with quotas in proportion to the day's traffic.
func quotaFactory(d *environment.Day) (Factory, error) {
	const all = cityTimes + ministryTimes
	share := 100 * ministryTimes / all
	tree, err := quota.NewTree([]quota.Limit{{Measure: quota.Requests, WindowSeconds: quotaWindowSeconds, Quota: all * d.Clients.RatePerSecond * quotaWindowSeconds}},
		[]quota.Group{{Name: "cities", Share: 100 - share, Weight: 1}, {Name: "ministry", Share: share, Weight: 1, Cap: ministryCap * share}})
	if err != nil {
		return nil, err
	}
	s := quotas.Defaults()
	s.File, s.Tree, s.DefaultGroup = "of the day", tree, "cities"
	s.Rules = []quotas.Rule{{Header: "Organisation"}}
	return func(cfg sidecarconfig.Config, net netio.EventLoop, log *slog.Logger) (Program, error) {
		p, err := sidecar.New(cfg, featureconfig.Features{Quotas: s}, []sidecar.Frontend{http1.New(cfg, rewrite.Settings{})}, net, log)
		if err != nil {
			return nil, err
		}
		return sidecarProgram{p}, nil
	}, nil
}
