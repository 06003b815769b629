package capture

// What the decisions can do.
const (
	ActionSend      = "send"
	ActionCancel    = "cancel"
	ActionProbe     = "probe"
	ActionCloseIdle = "close_idle"
	ActionRefuse    = "refuse"
	ActionFail      = "fail"
	ActionWake      = "wake"
	ActionWatch     = "watch"
	ActionLog       = "log"
)

// Decision is one action that the decisions asked for. Two that are alike are equal. ID, Class and To are for people:
// the Request-Id, the class's and the server's name.
type Decision struct {
	ID           string  `json:"id"`
	Class        string  `json:"class"`
	HostName     string  `json:"to"`
	Action       string  `json:"do"`
	Request      uint32  `json:"req"`
	Host         uint32  `json:"host"`
	Attempt      int     `json:"attempt"`
	AfterSeconds float64 `json:"after"` // of a wake-up, or of a client's next try
	Text         string  `json:"text"`
}

// append writes the decision's line.
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
	dst = appendString(append(dst, `,"do":`...), d.Action)
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
