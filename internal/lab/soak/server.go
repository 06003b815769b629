package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The services, their stand-in servers and the serving stages of model servers.
const (
	plainService        = "plain"
	modelService        = "model"
	plainServers        = 3
	modelServers        = 6
	serverSlots         = 16
	stageSwitchDuration = 300 * time.Millisecond
	stagePrefill        = "prefill"
	stageDecode         = "decode"
	maxServerBody       = 1 << 20
)

// meanReplaceInterval is the mean time between two replacements of servers, drainDuration how long a server drains before it is replaced.
const (
	meanReplaceInterval = 2 * time.Second
	drainDuration       = 3500 * time.Millisecond
)

// lateReadDelay is how long after an early answer a server reads on.
const lateReadDelay = 50 * time.Millisecond

// The fractions of requests that servers refuse as overloaded, or abort before and after executing them, and the time that execution takes.
const (
	refusedFraction          = 0.01
	abortedBeforeRunFraction = 0.005
	answerLostFraction       = 0.003
	feedAbortedFraction      = 0.03 // before each event
	answerTruncatedFraction  = 0.1  // of long answers: in the middle
	answeredEarlyFraction    = 0.2  // of long requests: refused before their body is read
	plainServiceTime         = 5 * time.Millisecond
	promptServiceTime        = 15 * time.Millisecond
)

// The headers of requests and answers, and the values that stand-in servers send.
const (
	headerRequest       = "Hazelwheel-Request-Id"
	headerInstance      = "Hazelwheel-Instance-Id"
	headerExpected      = "Hazelwheel-Expect-Instance"
	headerVersion       = "Expect-Version"
	headerStage         = "Hazelwheel-Serving-Stage"
	headerStamp         = "Hazelwheel-Response-Stamp"
	headerNotRun        = "Hazelwheel-Not-Executed"
	headerDeadline      = "Hazelwheel-Deadline-Ms"
	headerLastEvent     = "Last-Event-Id"
	headerModel         = "Hazelwheel-Model-Id"
	headerTokens        = "Hazelwheel-Token-Counts"
	headerPrefix        = "Hazelwheel-Prefix-Hash"
	weightsVersion      = "1"
	prefillAnswerFormat = `{"KvHandle":"h-%s","Tokens":1000,"Version":1}`
	promptAnswerFormat  = "id: 1\ndata: %s\n\nid: 2\ndata: end\n\n"
	contentTypeJSON     = "application/json"
)

// server stands in for a backend server. It obeys the headers of a request as the operators' pages specify and reports what it executes to the
// checker. It is safe for concurrent use.
type server struct {
	service string
	address string
	checker *Checker

	mu         sync.Mutex // guards the fields below
	instanceID string     // of the instance that has the address now
	stage      string     // of a model server; else empty
	isDraining bool
}

// setDraining sets whether the endpoint list shows the server as draining.
func (s *server) setDraining(isDraining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDraining = isDraining
}

// replaceInstance gives the address to another instance, which is ready.
func (s *server) replaceInstance(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instanceID, s.isDraining = id, false
}

// currentInstanceID returns the identifier of the instance that has the address now.
func (s *server) currentInstanceID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instanceID
}

// ServeHTTP answers health checks, orders to switch the stage, cancellations and requests. Like a real server it refuses or aborts some of the
// requests.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(headerRequest); hasLongBody(id) && r.Method == http.MethodPost && rand.Float64() < answeredEarlyFraction {
		s.refuseEarly(w, r, id)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxServerBody))
	if err != nil && r.URL.Path != "/order" {
		return
	}
	id := r.Header.Get(headerRequest)
	if id != "" && r.Method == http.MethodPost {
		s.checker.RequestBodyReceived(id, string(body))
		s.checker.RequestArrived(id, r.Header)
	}
	w.Header().Set(headerRequest, id)
	switch {
	case r.URL.Path == "/health":
		w.Header().Set(headerInstance, s.currentInstanceID())
	case r.URL.Path == "/order":
		s.switchStage(w)
	case r.Method == http.MethodDelete:
	case s.isMisdirected(r.Header):
		w.WriteHeader(http.StatusMisdirectedRequest)
	case rand.Float64() < refusedFraction:
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Header.Get(headerStage) == stagePrefill:
		fmt.Fprintf(w, prefillAnswerFormat, id)
	default:
		s.execute(w, r)
	}
}

// refuseEarly refuses a request before it has read the body, keeps the connection, and reads on later: what comes then is still that body.
func (s *server) refuseEarly(w http.ResponseWriter, r *http.Request, id string) {
	control := http.NewResponseController(w)
	if control.EnableFullDuplex() != nil {
		return
	}
	w.Header().Set(headerRequest, id)
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = control.Flush() // fails if the proxy has closed the connection, which the reading shows
	time.Sleep(lateReadDelay)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxServerBody))
	if err == nil {
		s.checker.RequestBodyReceived(id, string(body))
	}
}

// isMisdirected reports whether the headers of a request name another instance, stage or version of the weights.
func (s *server) isMisdirected(header http.Header) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if expected := header.Get(headerExpected); expected != "" && expected != s.instanceID {
		return true
	}
	if s.stage == "" {
		return false
	}
	version := header.Get(headerVersion)
	return version != "" && version != weightsVersion || (header.Get(headerStage) == stagePrefill) != (s.stage == stagePrefill)
}

// switchStage accepts an order to switch between prefill and decode, and switches after stageSwitchDuration.
func (s *server) switchStage(w http.ResponseWriter) {
	w.WriteHeader(http.StatusAccepted)
	time.AfterFunc(stageSwitchDuration, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.stage == stagePrefill {
			s.stage = stageDecode
		} else {
			s.stage = stagePrefill
		}
	})
}

// sendFeed sends the events that follow number last, all of them if it is empty, and aborts the answer after some of them.
func (s *server) sendFeed(w http.ResponseWriter, id, last string) {
	w.Header().Set("Content-Type", "text/event-stream")
	lastSeen, _ := strconv.Atoi(last) // without a number: 0, so that the first event is next
	if lastSeen > 0 {
		s.checker.FeedResumed()
	}
	for event := lastSeen + 1; event <= feedEvents; event++ {
		if event > lastSeen+1 && rand.Float64() < feedAbortedFraction {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, feedEvent(id, event)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // fails if the proxy has closed the connection, which the next write shows
		time.Sleep(plainServiceTime)
	}
}

// execute reports a request as executed and answers it. Some are aborted before that, and of some the answer is lost.
func (s *server) execute(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequest)
	draw := rand.Float64()
	if draw < abortedBeforeRunFraction {
		panic(http.ErrAbortHandler)
	}
	s.checker.RequestExecuted(id)
	w.Header().Set(headerStamp, s.currentInstanceID()+"."+id)
	if strings.HasPrefix(r.URL.Path, "/"+string(ResumableFeed)+"/") {
		s.sendFeed(w, id, r.Header.Get(headerLastEvent))
		return
	}
	if s.service == modelService {
		time.Sleep(promptServiceTime)
		w.Header().Set("Content-Type", "text/event-stream")
	} else {
		time.Sleep(plainServiceTime)
	}
	if draw > 1-answerLostFraction {
		panic(http.ErrAbortHandler)
	}
	kind := NonIdempotent
	if s.service == modelService {
		kind = Prompt
	}
	answer := expectedAnswer(kind, id)
	if kind == NonIdempotent && hasLongAnswer(id) && rand.Float64() < answerTruncatedFraction {
		s.checker.AnswerTruncated(id)
		_, _ = io.WriteString(w, answer[:rand.IntN(len(answer))])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(w, strings.NewReader(answer)) // fails if the proxy has closed the connection, which its client reports
}
