package sidecar

import (
	"encoding/base64"
	"errors"
	"strings"

	"hazelwheel/internal/drill"
	"hazelwheel/internal/http1"
)

// A drill is started by a POST to its path. The secret comes in a header field, in base64: it may hold any bytes.
const (
	DrillPath   = "/drills/"
	DrillSecret = "Drill-Secret"
)

// delayPart is the part of a request's time that a drill may take. Danger: decisions that get a request just before
// its deadline can only fail it, and the rehearsal would show a failure of the balancer's own making.
const delayPart = 0.8

// startDrill answers the operators' word to start a drill. Danger: the secret must not reach the log.
func (l *clientLink) startDrill(name string) {
	p := &l.parser
	if p.Method != "POST" {
		l.decline(405, "a drill is started by POST", http1.Field{Name: "Allow", Value: "POST"})
		return
	}
	var d drill.Drill
	secret, err := base64.StdEncoding.DecodeString(p.Header.Get(DrillSecret))
	if err != nil {
		err = drill.ErrSecret
	} else {
		d, err = l.s.drills.Start(l.s.now(), secret, name)
	}
	if err != nil {
		l.s.log.Warn("drill refused", "error", err)
		status := 404
		if errors.Is(err, drill.ErrSecret) {
			status = 403
		}
		l.decline(status, err.Error())
		return
	}
	l.s.log.Info("drill started", "drill", d.Name, "class", d.Class, "duration_s", d.DurationS)
	l.respond(200, http1.Header{textPlain}, []byte("drill "+d.Name+" started\n"))
}

// drilled tells whether a drill has taken a request up; then it calls decide when the delay is over, or aborts the
// request. Until then the request is open like any other: its client may go, and its deadline holds. Danger: what is left
// of its time looks like that of a client's later try, and one whose aim has passed since its first is refused; so the
// decisions are told how long it was held.
func (s *Sidecar) drilled(r *request, class int, decide func(held float64)) bool {
	now := s.now()
	d := s.drills.Hit(now, s.cfg.Settings.Policy.Classes[class].Name)
	if d == nil {
		return false
	}
	s.log.Info("drill hit", "drill", d.Name, "request_id", r.name)
	r.delay = s.timers.at(now+min(d.DelayMS/1000, delayPart*(r.deadline-now)), func() {
		switch {
		case r.answered:
		case d.Abort == "503": // nothing has run, which is what a throttle says
			s.counters.Throttled++
			s.answer(r, func() { r.origin.throttle(s.cfg.Settings.Policy.MaxRetryAfterS) })
		default:
			decide(s.now() - now)
		}
	})
	return true
}

// drillName returns the drill that a path names, if drills can be started.
func (s *Sidecar) drillName(path string) (string, bool) {
	name, ok := strings.CutPrefix(path, DrillPath)
	return name, ok && s.drills.Armed()
}
