package sidecar

import (
	"encoding/json"
	"net/url"

	"hazelwheel/internal/decide/quota"
	"hazelwheel/internal/quotas"
)

// shownGroups bounds the groups that are told of at a time, countedGroups those in the counters.
const (
	maxShownGroups   = 500
	maxCountedGroups = 20
)

// quotaDesk is the quotas' place in the sidecar; nil where there are none.
type quotaEnforcer struct {
	settings   quotas.Settings
	limiter    *quota.Limiter
	classifier *quotas.Classifier
	exempt     []bool // by class
	floor      []bool
	snapshots  *quotas.SnapshotWriter // nil: no snapshots are made
	counters   QuotaCounters
}

// QuotaCounters are the quotas' part of the counters.
type QuotaCounters struct {
	Groups           int                 `json:"groups"`
	Served           uint64              `json:"served"`
	Refused          uint64              `json:"refused"`
	Exempt           uint64              `json:"exempt"` // requests of exempt classes
	Snapshots        uint64              `json:"snapshots"`
	SnapshotsSkipped uint64              `json:"snapshots_late"` // left out since the disk was slow
	SnapshotErrors   uint64              `json:"snapshot_errors"`
	Reloads          uint64              `json:"reloads"` // files of groups taken into use while running
	ReloadFailed     uint64              `json:"reload_failed"`
	MostRefused      []quota.GroupCounts `json:"most_refused"` // the groups with most refusals
}

// quotaTicket is what a request has of its group's quota.
type quotaCharge struct {
	request        quota.Request
	isCharged      bool
	admittedAt     float64
	responseBytes  float64 // of the answer
	serviceSeconds float64 // seconds of a box
}

// newQuotas returns the desk of the settings, nil where there are no quotas.
func (s *Sidecar) newQuotaEnforcer(on quotas.Settings) *quotaEnforcer {
	if !on.IsEnabled() {
		return nil
	}
	d := &quotaEnforcer{settings: on, limiter: quota.New(on.Tree, on.LimiterSettings(s.cfg.Settings.Policy.Replicas), s.now()),
		classifier: quotas.NewClassifier(&on, on.Tree)}
	named := func(names []string) (flags []bool) {
		for _, c := range s.cfg.Settings.Policy.Classes {
			is := false
			for _, name := range names {
				is = is || name == c.Name
			}
			flags = append(flags, is)
		}
		return flags
	}
	d.exempt, d.floor = named(on.ExemptClasses), named(on.FloorClasses)
	if on.SnapshotDir != "" {
		s.reservedDescriptors += quotas.WriterDescriptors
	}
	return d
}

// beginQuotas goes on from the last snapshot and has the next ones made.
func (s *Sidecar) startQuotas() {
	d := s.quotas
	if d == nil || d.settings.SnapshotDir == "" {
		return
	}
	if state := quotas.LoadSnapshot(d.settings.SnapshotDir, s.log); state != nil {
		d.limiter = quota.Restore(d.settings.Tree, d.settings.LimiterSettings(s.cfg.Settings.Policy.Replicas), state, s.now())
	}
	d.snapshots = quotas.NewSnapshotWriter(d.settings.SnapshotDir, s.log)
	s.timers.schedule(s.now()+d.settings.SnapshotIntervalSeconds, s.snapshotQuotas)
}

// snapshotQuotas hands a copy of the quotas' state to the disk, again and again.
func (s *Sidecar) snapshotQuotas() {
	if s.quotas.snapshots.IsReady() {
		s.quotas.snapshots.Write(s.quotas.limiter.State())
	}
	s.timers.schedule(s.now()+s.quotas.settings.SnapshotIntervalSeconds, s.snapshotQuotas)
}

// endQuotas writes the last snapshot, once the loop has gone.
func (s *Sidecar) closeQuotas() {
	if s.quotas != nil && s.quotas.snapshots != nil {
		s.quotas.snapshots.Close(s.quotas.limiter.State())
	}
}

// ReadQuotaTree reads the file of groups again; nil: there are no quotas. It may be called beside the loop.
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

// ApplyQuotaTree takes another tree of groups into use, or keeps the old one where it is at fault.
func (s *Sidecar) ApplyQuotaTree(tree *quota.Tree, err error) {
	d := s.quotas
	switch {
	case d == nil:
	case err != nil:
		d.counters.ReloadFailed++
		s.log.Error("the quotas stay as they were", "error", err)
	case tree != nil:
		d.counters.Reloads++
		d.limiter = d.limiter.WithTree(s.now(), tree, d.settings.LimiterSettings(s.cfg.Settings.Policy.Replicas))
		d.classifier = quotas.NewClassifier(&d.settings, tree)
		s.log.Info("quotas read", "groups", tree.Len()-1)
	}
}

// QuotaClient is a Client that knows what quotas go by. One that is not is known by its class and address alone, and what is
// beyond its quota is throttled.
type QuotaClient interface {
	// Field returns a field of the message's header, "" if it is absent.
	Field(name string) string
	// RequestBytes returns about what the message took on the wire.
	RequestBytes() int
	// RejectOverQuota refuses: nothing has run, and the group will have more after the given time.
	RejectOverQuota(group string, retryAfterS float64)
}

// CostReporter is an Exchange whose whole answer tells what it cost.
type CostReporter interface {
	// RequestBytes returns about what the answer took on the wire.
	ResponseBytes() int
	// ServiceSeconds returns for how long the server says it has worked; ok: it does.
	ServiceSeconds() (seconds float64, ok bool)
}

// noFields has no header.
type emptyFields struct{}

func (emptyFields) Field(string) string { return "" }

// withinQuota tells whether a request that has come may be taken up, and books it on its group. One that may not has been
// refused, finally: nothing of it has gone anywhere.
func (l *ClientConn) admitByQuota(a *IncomingRequest) (quotaCharge, bool) {
	s, d := l.sidecar, l.sidecar.quotas
	if d == nil {
		return quotaCharge{}, true
	}
	if d.exempt[a.Class] {
		d.counters.Exempt++
		return quotaCharge{}, true
	}
	now, bytes, header := s.now(), a.HeldBytes, quotas.FieldGetter(emptyFields{})
	q, knows := l.codec.(QuotaClient)
	if knows {
		bytes, header = q.RequestBytes(), q
	}
	g := d.classifier.GroupOf(header, s.cfg.Settings.Policy.Classes[a.Class].Name, clientAddress(l.conn))
	t := quotaCharge{request: d.limiter.NewRequest(g, float64(bytes), d.floor[a.Class]), isCharged: true, admittedAt: now}
	v := d.limiter.Admit(now, t.request)
	if v.Allowed {
		d.counters.Served++
		return t, true
	}
	d.counters.Refused++
	s.counters.Requests++
	s.counters.countRequestEnd(a.Class, throttled)
	s.counters.OverQuota++
	if knows {
		q.RejectOverQuota(d.limiter.Tree().Path(g), v.RetryAfterSeconds)
	} else {
		l.codec.Throttle(v.RetryAfterSeconds)
	}
	return t, false
}

// chargeAnswer notes what the answer that an attempt has brought costs its request's group.
func (s *Sidecar) recordResponseCost(e *attempt) {
	t := &e.request.quota
	if !t.isCharged {
		return
	}
	ok := false
	if x, told := e.exchange.(CostReporter); told {
		t.responseBytes = float64(x.ResponseBytes())
		t.serviceSeconds, ok = x.ServiceSeconds()
	}
	if !ok {
		t.serviceSeconds = s.now() - e.sentAt
	}
}

// settleQuota books what a request has cost now that it has its answer.
func (s *Sidecar) completeQuota(r *request) {
	if t := &r.quota; t.isCharged {
		now := s.now()
		s.quotas.limiter.Complete(now, t.request, now-t.admittedAt, t.responseBytes, t.serviceSeconds)
	}
}

// quotaCounters returns the quotas' part of the counters, nil where there are none.
func (s *Sidecar) quotaCounters() *QuotaCounters {
	d := s.quotas
	if d == nil {
		return nil
	}
	c := &d.counters
	c.Groups, c.MostRefused = d.limiter.Tree().Len()-1, d.limiter.TopRejected(maxCountedGroups)
	if d.snapshots != nil {
		c.Snapshots, c.SnapshotsSkipped, c.SnapshotErrors = d.snapshots.Written.Load(), d.snapshots.Skipped, d.snapshots.Errors.Load()
	}
	return c
}

// QuotaStatus tells of all groups as JSON, or of the one that a query names; ok: there is such a group, and there are quotas.
func (s *Sidecar) QuotaStatus(query string) (text []byte, ok bool) {
	if s.quotas == nil {
		return nil, false
	}
	m, now := s.quotas.limiter, s.now()
	var told any
	if asked, _ := url.ParseQuery(query); asked.Has("group") {
		g, ok := m.Tree().Find(asked.Get("group"))
		if !ok {
			return nil, false
		}
		told = m.Explain(now, g)
	} else {
		told = m.View(now, maxShownGroups)
	}
	raw, err := json.Marshal(told)
	if err != nil { // numbers and names always marshal
		panic(err)
	}
	return append(raw, '\n'), true
}
