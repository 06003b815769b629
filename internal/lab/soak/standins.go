package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
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

// platform stands in for the list of servers.
type endpointList struct {
	address     string
	servers     []*server
	httpServers []*http.Server
}

func startEndpointList(checker *Checker) (*endpointList, error) {
	p := &endpointList{}
	for i := range plainServers + modelServers {
		s := &server{instanceID: fmt.Sprintf("i-%02d", i), service: plainService, checker: checker}
		if i >= plainServers {
			s.service, s.stage = modelService, stageDecode
			if i%2 == 0 {
				s.stage = stagePrefill
			}
		}
		address, err := p.serve(s)
		if err != nil {
			return nil, err
		}
		s.address = address
		p.servers = append(p.servers, s)
	}
	address, err := p.serve(http.HandlerFunc(p.serveList))
	p.address = address
	return p, err
}

func (p *endpointList) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	httpServer := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	p.httpServers = append(p.httpServers, httpServer)
	go func() { _ = httpServer.Serve(listener) }() // ends with close
	return listener.Addr().String(), nil
}

func (p *endpointList) close() {
	for _, httpServer := range p.httpServers {
		_ = httpServer.Close()
	}
}

type listedModel struct {
	Name    string
	Version int
}

type listedInstance struct {
	ID      string `json:"Id"`
	Service string
	Address string
	Zone    string
	Slots   int
	State   string
	Stage   string        `json:",omitempty"`
	Models  []listedModel `json:",omitempty"`
}

type listPage struct {
	Instances     []listedInstance
	NextPageToken *string
}

func (p *endpointList) serveList(w http.ResponseWriter, _ *http.Request) {
	var page listPage
	for i, s := range p.servers {
		s.mu.Lock()
		state := "ready"
		if s.draining {
			state = "draining"
		}
		page.Instances = append(page.Instances, listedInstance{ID: s.instanceID, Service: s.service, Address: s.address, Zone: fmt.Sprint("z", i%3),
			Slots: serverSlots, State: state, Stage: s.stage})
		s.mu.Unlock()
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	_ = json.NewEncoder(w).Encode(page) // who asked and is gone asks again
}

// renew replaces servers until the context ends, one at a time: it drains, is gone, and another instance has its address.
func (p *endpointList) replaceServers(ctx context.Context, rng *rand.Rand) (replaced int) {
	for {
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanReplaceInterval)))
		s := p.servers[rng.IntN(len(p.servers))]
		s.setDraining(true)
		sleep(ctx, drainDuration)
		if ctx.Err() != nil {
			s.setDraining(false)
			return replaced
		}
		replaced++
		s.replaceInstance(fmt.Sprintf("%s-%d", s.currentInstanceID(), replaced))
	}
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
