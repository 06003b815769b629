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

// The services and stages of the stand-ins.
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

// renewEvery is the mean time between two replacements of servers, drainFor how long a server drains before.
const (
	meanReplaceInterval = 2 * time.Second
	drainDuration       = 3500 * time.Millisecond
)

// The parts of requests that servers refuse as full, or break off before and after they run them.
const (
	refusedFraction          = 0.01
	abortedBeforeRunFraction = 0.005
	answerLostFraction       = 0.003
	feedAbortedFraction      = 0.03 // before each event
	plainServiceTime         = 5 * time.Millisecond
	promptServiceTime        = 15 * time.Millisecond
	headerRequest            = "Hazelwheel-Request-Id"
	headerInstance           = "Hazelwheel-Instance-Id"
	headerExpected           = "Hazelwheel-Expect-Instance"
	headerVersion            = "Expect-Version"
	headerStage              = "Hazelwheel-Serving-Stage"
	headerStamp              = "Hazelwheel-Response-Stamp"
	headerNotRun             = "Hazelwheel-Not-Executed"
	headerDeadline           = "Hazelwheel-Deadline-Ms"
	headerLastEvent          = "Last-Event-Id"
	headerTokens             = "Hazelwheel-Token-Counts"
	headerPrefix             = "Hazelwheel-Prefix-Hash"
	weightsVersion           = "1"
	prefillAnswerFormat      = `{"KvHandle":"h-%s","Tokens":1000,"Version":1}`
	promptAnswerFormat       = "id: 1\ndata: %s\n\nid: 2\ndata: end\n\n"
	contentTypeJSON          = "application/json"
)

// server stands in for a server. It goes by the fields of a request as the operators' pages say.
type server struct {
	service string
	address string
	checker *Checker

	mu         sync.Mutex
	instanceID string // of the instance that has the address now
	stage      string
	draining   bool
}

func (s *server) setDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

func (s *server) replaceInstance(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instanceID, s.draining = id, false
}

func (s *server) currentInstanceID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instanceID
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxServerBody))
	if err != nil && r.URL.Path != "/order" {
		return
	}
	id := r.Header.Get(headerRequest)
	if id != "" && r.Method == http.MethodPost {
		s.checker.RequestBodyReceived(id, string(body))
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

// misdirected tells whether a request is for another instance, stage or version.
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

// order changes the stage after a while.
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

// feed sends the events after the last one that a client has, and breaks off after some of them now and then.
func (s *server) sendFeed(w http.ResponseWriter, id, last string) {
	w.Header().Set("Content-Type", "text/event-stream")
	lastSeen, _ := strconv.Atoi(last) // none: from the first on
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
		_ = http.NewResponseController(w).Flush() // a proxy that is gone needs none
		time.Sleep(plainServiceTime)
	}
}

// run runs a request and answers it, but for some that are broken off.
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
	_, _ = io.Copy(w, strings.NewReader(expectedAnswer(kind, id))) // a proxy that is gone needs none
}
