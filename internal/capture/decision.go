package capture

// Action is the kind of action that a decision asked for, as written in the record.
type Action string

// The actions, one for each method of policy.Actions.
const (
	ActionSend      Action = "send"
	ActionCancel    Action = "cancel"
	ActionProbe     Action = "probe"
	ActionCloseIdle Action = "close_idle"
	ActionRefuse    Action = "refuse"
	ActionFail      Action = "fail"
	ActionWake      Action = "wake"
	ActionWatch     Action = "watch"
	ActionLog       Action = "log"
)

// Decision is an action that policy asked for. ID, Class and HostName are for people: the client's Request-Id, the class's name
// and the server's name.
type Decision struct {
	ID           string  `json:"id"`
	Class        string  `json:"class"`
	HostName     string  `json:"to"`
	Action       Action  `json:"do"`
	Request      uint32  `json:"req"`
	Host         uint32  `json:"host"`
	Attempt      int     `json:"attempt"`
	AfterSeconds float64 `json:"after"` // until a wake-up, or until a client's retry
	Text         string  `json:"text"`  // of a log line
}

// append appends the decision's line. Only the fields that its action has are written.
func (d *Decision) append(dst []byte, now float64) []byte {
	dst = appendHead(dst, now, kindDecision)
	if d.ID != "" {
		dst = appendString(append(dst, `,"id":`...), d.ID)
	}
	if d.Class != "" {
		dst = appendString(append(dst, `,"class":`...), d.Class)
	}
	if d.HostName != "" {
		dst = appendString(append(dst, `,"to":`...), d.HostName)
	}
	dst = appendString(append(dst, `,"do":`...), string(d.Action))
	switch d.Action {
	case ActionSend, ActionCancel, ActionRefuse, ActionFail:
		dst = appendInt(append(dst, `,"req":`...), int64(d.Request))
	}
	switch d.Action {
	case ActionSend, ActionProbe, ActionCloseIdle:
		dst = appendInt(append(dst, `,"host":`...), int64(d.Host))
	case ActionCancel:
		dst = appendInt(append(dst, `,"attempt":`...), int64(d.Attempt))
	case ActionRefuse, ActionWake:
		dst = appendFloat(append(dst, `,"after":`...), d.AfterSeconds)
	case ActionLog:
		dst = appendString(append(dst, `,"text":`...), d.Text)
	}
	return append(dst, "}\n"...)
}
