package sidecar

import (
	"encoding/json"
	"net/url"

	"hazelwheel/internal/decide/quota"
	"hazelwheel/internal/quotas"
)

// maxShownGroups bounds the number of groups in a status, maxCountedGroups that in the counters.
const (
	maxShownGroups   = 500
	maxCountedGroups = 20
)

// quotaEnforcer applies the quotas of client groups. It is nil if quotas are off.
type quotaEnforcer struct {
	settings    quotas.Settings
	limiter     *quota.Limiter
	classifier  *quotas.Classifier
	exempt      []bool                 // by index of the class: not subject to quotas
	mayUseFloor []bool                 // by index of the class: may use the floors of its group
	snapshots   *quotas.SnapshotWriter // nil if no snapshots are written
	counters    QuotaCounters
}

// QuotaCounters are the counters of quotas. Operators' tools read their JSON names, which must not change.
type QuotaCounters struct {
	Groups           int                 `json:"groups"`
	Served           uint64              `json:"served"`
	Rejected         uint64              `json:"refused"`
	Exempt           uint64              `json:"exempt"` // requests of exempt classes
	Snapshots        uint64              `json:"snapshots"`
	SnapshotsSkipped uint64              `json:"snapshots_late"` // skipped since the previous one was still being written
	SnapshotErrors   uint64              `json:"snapshot_errors"`
	Reloads          uint64              `json:"reloads"` // group files applied at run time
	ReloadFailed     uint64              `json:"reload_failed"`
	TopRejected      []quota.GroupCounts `json:"most_refused"` // groups with the most rejected requests
}

// quotaCharge records what a request uses of its group's quota.
type quotaCharge struct {
	request        quota.Request
	isCharged      bool
	admittedAt     float64
	responseBytes  float64 // size of the response
	serviceSeconds float64 // time that the server worked on the request
}

// newQuotaEnforcer returns an enforcer for the settings, nil if there are no quotas.
func (s *Sidecar) newQuotaEnforcer(settings quotas.Settings) *quotaEnforcer {
	if !settings.IsEnabled() {
		return nil
	}
	enforcer := &quotaEnforcer{settings: settings, limiter: quota.New(settings.Tree, settings.LimiterSettings(s.cfg.Settings.Policy.Replicas), s.now()),
		classifier: quotas.NewClassifier(&settings, settings.Tree)}
	classFlags := func(names []string) (flags []bool) {
		for _, c := range s.cfg.Settings.Policy.Classes {
			isNamed := false
			for _, name := range names {
				isNamed = isNamed || name == c.Name
			}
			flags = append(flags, isNamed)
		}
		return flags
	}
	enforcer.exempt, enforcer.mayUseFloor = classFlags(settings.ExemptClasses), classFlags(settings.FloorClasses)
	if settings.SnapshotDir != "" {
		s.descriptors.reserved += quotas.WriterDescriptors
	}
	return enforcer
}

// startQuotas restores the last snapshot and starts to write new ones.
func (s *Sidecar) startQuotas() {
	enforcer := s.quotas
	if enforcer == nil || enforcer.settings.SnapshotDir == "" {
		return
	}
	if state := quotas.LoadSnapshot(enforcer.settings.SnapshotDir, s.log); state != nil {
		enforcer.limiter = quota.Restore(enforcer.settings.Tree, enforcer.settings.LimiterSettings(s.cfg.Settings.Policy.Replicas), state, s.now())
	}
	enforcer.snapshots = quotas.NewSnapshotWriter(enforcer.settings.SnapshotDir, s.log)
	s.timers.schedule(s.now()+enforcer.settings.SnapshotIntervalSeconds, s.snapshotQuotas)
}

// snapshotQuotas writes a snapshot of the quotas' state, periodically.
func (s *Sidecar) snapshotQuotas() {
	if s.quotas.snapshots.IsReady() {
		s.quotas.snapshots.Write(s.quotas.limiter.State())
	}
	s.timers.schedule(s.now()+s.quotas.settings.SnapshotIntervalSeconds, s.snapshotQuotas)
}

// closeQuotas writes the last snapshot, after the event loop has ended.
func (s *Sidecar) closeQuotas() {
	if s.quotas != nil && s.quotas.snapshots != nil {
		s.quotas.snapshots.Close(s.quotas.limiter.State())
	}
}

// ReadQuotaTree reads and validates the group file again; it returns nil if quotas are off. It may be called from any goroutine.
func (s *Sidecar) ReadQuotaTree() (*quota.Tree, error) {
	if s.quotas == nil {
		return nil, nil
	}
	tree, err := quotas.ReadFile(s.quotas.settings.File)
	if err == nil {
		err = s.quotas.settings.Validate(tree)
	}
	return tree, err
}

// ApplyQuotaTree replaces the tree of groups, or keeps the present one if err is not nil.
func (s *Sidecar) ApplyQuotaTree(tree *quota.Tree, err error) {
	enforcer := s.quotas
	switch {
	case enforcer == nil:
	case err != nil:
		enforcer.counters.ReloadFailed++
		s.log.Error("the quotas stay as they were", "error", err)
	case tree != nil:
		enforcer.counters.Reloads++
		enforcer.limiter = enforcer.limiter.WithTree(s.now(), tree, enforcer.settings.LimiterSettings(s.cfg.Settings.Policy.Replicas))
		enforcer.classifier = quotas.NewClassifier(&enforcer.settings, tree)
		s.log.Info("quotas read", "groups", tree.Len()-1)
	}
}

// QuotaClient is implemented by a ClientCodec whose messages have header fields that quotas can use. Other clients are classified by class
// and address alone, and throttled when over quota.
type QuotaClient interface {
	// Field returns a field of the message's header, empty if it is absent.
	Field(name string) string
	// RequestBytes returns the approximate size of the message on the wire.
	RequestBytes() int
	// RejectOverQuota rejects the message: it has not run, and the group has quota again after the given time.
	RejectOverQuota(group string, retryAfterSeconds float64)
}

// CostReporter is implemented by an Exchange that can report the cost of its complete response.
type CostReporter interface {
	// ResponseBytes returns the approximate size of the response on the wire.
	ResponseBytes() int
	// ServiceSeconds returns how long the server worked on the request, or false if the server does not report it.
	ServiceSeconds() (seconds float64, ok bool)
}

// emptyFields is a header without fields.
type emptyFields struct{}

// Field implements quotas.FieldGetter.
func (emptyFields) Field(string) string { return "" }

// admitByQuota charges a request to its group's quota and reports whether it is within the quota. If not, the request has been rejected and
// the caller must not submit it.
func (c *ClientConn) admitByQuota(in *IncomingRequest) (quotaCharge, bool) {
	s, enforcer := c.sidecar, c.sidecar.quotas
	if enforcer == nil {
		return quotaCharge{}, true
	}
	if enforcer.exempt[in.Class] {
		enforcer.counters.Exempt++
		return quotaCharge{}, true
	}
	now, bytes, header := s.now(), in.HeldBytes, quotas.FieldGetter(emptyFields{})
	codec, isQuotaClient := c.codec.(QuotaClient)
	if isQuotaClient {
		bytes, header = codec.RequestBytes(), codec
	}
	group := enforcer.classifier.GroupOf(header, s.cfg.Settings.Policy.Classes[in.Class].Name, clientAddress(c.conn))
	charge := quotaCharge{request: enforcer.limiter.NewRequest(group, float64(bytes), enforcer.mayUseFloor[in.Class]), isCharged: true, admittedAt: now}
	decision := enforcer.limiter.Admit(now, charge.request)
	if decision.Allowed {
		enforcer.counters.Served++
		return charge, true
	}
	enforcer.counters.Rejected++
	s.counters.Requests++
	s.counters.countRequestEnd(in.Class, throttled)
	s.counters.OverQuota++
	if isQuotaClient {
		codec.RejectOverQuota(enforcer.limiter.Tree().Path(group), decision.RetryAfterSeconds)
	} else {
		c.codec.Throttle(decision.RetryAfterSeconds)
	}
	return charge, false
}

// recordResponseCost records what an attempt's response costs its request's group.
func (s *Sidecar) recordResponseCost(a *attempt) {
	charge := &a.request.quota
	if !charge.isCharged {
		return
	}
	ok := false
	if x, reportsCost := a.exchange.(CostReporter); reportsCost {
		charge.responseBytes = float64(x.ResponseBytes())
		charge.serviceSeconds, ok = x.ServiceSeconds()
	}
	if !ok {
		charge.serviceSeconds = s.now() - a.sentAt
	}
}

// completeQuota charges the actual cost of a request after its response.
func (s *Sidecar) completeQuota(r *request) {
	if charge := &r.quota; charge.isCharged {
		now := s.now()
		s.quotas.limiter.Complete(now, charge.request, now-charge.admittedAt, charge.responseBytes, charge.serviceSeconds)
	}
}

// quotaCounters returns the counters of quotas, nil if quotas are off.
func (s *Sidecar) quotaCounters() *QuotaCounters {
	enforcer := s.quotas
	if enforcer == nil {
		return nil
	}
	counters := &enforcer.counters
	counters.Groups, counters.TopRejected = enforcer.limiter.Tree().Len()-1, enforcer.limiter.TopRejected(maxCountedGroups)
	if enforcer.snapshots != nil {
		counters.Snapshots, counters.SnapshotsSkipped, counters.SnapshotErrors = enforcer.snapshots.Written.Load(), enforcer.snapshots.Skipped, enforcer.snapshots.Errors.Load()
	}
	return counters
}

// QuotaStatus returns the state of all groups, or of the one that the query names, as a line of JSON. It returns false if there is no such
// group or quotas are off.
func (s *Sidecar) QuotaStatus(query string) (text []byte, ok bool) {
	if s.quotas == nil {
		return nil, false
	}
	limiter, now := s.quotas.limiter, s.now()
	var status any
	if parameters, _ := url.ParseQuery(query); parameters.Has("group") {
		group, ok := limiter.Tree().Find(parameters.Get("group"))
		if !ok {
			return nil, false
		}
		status = limiter.Explain(now, group)
	} else {
		status = limiter.View(now, maxShownGroups)
	}
	raw, err := json.Marshal(status)
	if err != nil { // numbers and names always marshal
		panic(err)
	}
	return append(raw, '\n'), true
}
