package simulatorwire

import (
	"io"
	"math"
)

// Reply collects the actions that answer one batch.
type Reply struct {
	records []byte
	tail    []byte
	count   int
}

// Reset empties the reply.
func (p *Reply) Reset() { p.records, p.tail, p.count = p.records[:0], p.tail[:0], 0 }

// WriteTo writes the reply as one frame.
func (p *Reply) WriteTo(w io.Writer) (int64, error) {
	var head [replyHead]byte
	le.PutUint32(head[:], uint32(len(p.records)+len(p.tail)))
	le.PutUint32(head[4:], uint32(p.count))
	total := int64(0)
	for _, part := range [...][]byte{head[:], p.records, p.tail} {
		n, err := w.Write(part)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// add appends a zeroed record and returns it.
func (p *Reply) add(code uint16, instance uint32) []byte {
	var blank [actionSize]byte
	p.records = append(p.records, blank[:]...)
	p.count++
	r := p.records[len(p.records)-actionSize:]
	le.PutUint16(r, code)
	le.PutUint32(r[2:], instance)
	return r
}

func (p *Reply) addText(code uint16, instance uint32, text string) {
	r := p.add(code, instance)
	le.PutUint32(r[6:], uint32(len(p.tail)))
	le.PutUint32(r[10:], uint32(len(text)))
	p.tail = append(p.tail, text...)
}

// Broken reports that the decisions of an instance have failed.
func (p *Reply) Broken(instance uint32, text string) { p.addText(broken, instance, text) }

// Actions writes the actions of one instance into a Reply.
type Actions struct {
	Reply    *Reply
	Instance uint32
}

// Send writes a DISPATCH that waits until the client's deadline.
func (a *Actions) Send(request, host uint32) {
	r := a.Reply.add(dispatch, a.Instance)
	le.PutUint32(r[6:], request)
	le.PutUint32(r[10:], host)
}

// Cancel writes an UNDO_SEND.
func (a *Actions) Cancel(request uint32, attempt int) {
	r := a.Reply.add(undoSend, a.Instance)
	le.PutUint32(r[6:], request)
	le.PutUint16(r[10:], uint16(attempt))
}

// Probe writes a CHECK.
func (a *Actions) Probe(host uint32) { le.PutUint32(a.Reply.add(check, a.Instance)[6:], host) }

// CloseIdle writes a SHUT_IDLE.
func (a *Actions) CloseIdle(host uint32) { le.PutUint32(a.Reply.add(shutIdle, a.Instance)[6:], host) }

// Refuse writes an OVERLOAD_REPLY.
func (a *Actions) Refuse(request uint32, retryAfterS float64) {
	r := a.Reply.add(overloadReply, a.Instance)
	le.PutUint32(r[6:], request)
	le.PutUint64(r[10:], math.Float64bits(retryAfterS))
}

// Fail writes a LOSE.
func (a *Actions) Fail(request uint32) { le.PutUint32(a.Reply.add(lose, a.Instance)[6:], request) }

// WakeAfter writes a DEFER.
func (a *Actions) WakeAfter(seconds float64) {
	le.PutUint64(a.Reply.add(deferWake, a.Instance)[6:], math.Float64bits(seconds))
}

// Watch writes an OBSERVE that subscribes.
func (a *Actions) Watch() { a.Reply.add(observe, a.Instance)[6] = 1 }

// Log writes a WRITE_LOG.
func (a *Actions) Log(text string) { a.Reply.addText(writeLog, a.Instance, text) }
