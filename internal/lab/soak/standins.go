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
	plainService  = "plain"
	modelService  = "model"
	plainServers  = 3
	modelServers  = 6
	serverSlots   = 16
	switchFor     = 300 * time.Millisecond
	stagePrefill  = "prefill"
	stageDecode   = "decode"
	maxServerBody = 1 << 20
)

// renewEvery is the mean time between two replacements of servers, drainFor how long a server drains before.
const (
	renewEvery = 2 * time.Second
	drainFor   = 3500 * time.Millisecond
)

// The parts of requests that servers refuse as full, or break off before and after they run them.
const (
	partRefused     = 0.01
	partBrokenOff   = 0.005
	partAnswerLost  = 0.003
	partFeedBroken  = 0.03 // before each event
	plainWork       = 5 * time.Millisecond
	promptWork      = 15 * time.Millisecond
	headerRequest   = "Hazelwheel-Request-Id"
	headerInstance  = "Hazelwheel-Instance-Id"
	headerExpected  = "Hazelwheel-Expect-Instance"
	headerVersion   = "Expect-Version"
	headerStage     = "Hazelwheel-Serving-Stage"
	headerStamp     = "Hazelwheel-Response-Stamp"
	headerNotRun    = "Hazelwheel-Not-Executed"
	headerDeadline  = "Hazelwheel-Deadline-Ms"
	headerLastEvent = "Last-Event-Id"
	headerTokens    = "Hazelwheel-Token-Counts"
	headerPrefix    = "Hazelwheel-Prefix-Hash"
	weightsVersion  = "1"
	handleAnswer    = `{"KvHandle":"h-%s","Tokens":1000,"Version":1}`
	twoEvents       = "id: 1\ndata: %s\n\nid: 2\ndata: end\n\n"
	contentTypeJSON = "application/json"
)

// server stands in for a server. It goes by the fields of a request as the operators' pages say.
type server struct {
	service string
	address string
	checker *Checker

	mu       sync.Mutex
	id       string // of the instance that has the address now
	stage    string
	draining bool
}

// platform stands in for the list of servers.
type platform struct {
	address string
	servers []*server
	serving []*http.Server
}

func startPlatform(checker *Checker) (*platform, error) {
	p := &platform{}
	for i := range plainServers + modelServers {
		s := &server{id: fmt.Sprintf("i-%02d", i), service: plainService, checker: checker}
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
	address, err := p.serve(http.HandlerFunc(p.list))
	p.address = address
	return p, err
}

func (p *platform) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	serving := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	p.serving = append(p.serving, serving)
	go func() { _ = serving.Serve(listener) }() // ends with close
	return listener.Addr().String(), nil
}

func (p *platform) close() {
	for _, serving := range p.serving {
		_ = serving.Close()
	}
}

type listedModel struct {
	Name    string
	Version int
}

type listedServer struct {
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
	Instances     []listedServer
	NextPageToken *string
}

func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	var page listPage
	for i, s := range p.servers {
		s.mu.Lock()
		state := "ready"
		if s.draining {
			state = "draining"
		}
		page.Instances = append(page.Instances, listedServer{ID: s.id, Service: s.service, Address: s.address, Zone: fmt.Sprint("z", i%3),
			Slots: serverSlots, State: state, Stage: s.stage})
		s.mu.Unlock()
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	_ = json.NewEncoder(w).Encode(page) // who asked and is gone asks again
}

// renew replaces servers until the context ends, one at a time: it drains, is gone, and another instance has its address.
func (p *platform) renew(ctx context.Context, rng *rand.Rand) (renewed int) {
	for {
		pause(ctx, time.Duration(rng.ExpFloat64()*float64(renewEvery)))
		s := p.servers[rng.IntN(len(p.servers))]
		s.setDraining(true)
		pause(ctx, drainFor)
		if ctx.Err() != nil {
			s.setDraining(false)
			return renewed
		}
		renewed++
		s.replace(fmt.Sprintf("%s-%d", s.instance(), renewed))
	}
}

func (s *server) setDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

func (s *server) replace(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id, s.draining = id, false
}

func (s *server) instance() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxServerBody))
	if err != nil && r.URL.Path != "/order" {
		return
	}
	id := r.Header.Get(headerRequest)
	if id != "" && r.Method == http.MethodPost {
		s.checker.Got(id, string(body))
	}
	w.Header().Set(headerRequest, id)
	switch {
	case r.URL.Path == "/health":
		w.Header().Set(headerInstance, s.instance())
	case r.URL.Path == "/order":
		s.order(w)
	case r.Method == http.MethodDelete:
	case s.misdirected(r.Header):
		w.WriteHeader(http.StatusMisdirectedRequest)
	case rand.Float64() < partRefused:
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Header.Get(headerStage) == stagePrefill:
		fmt.Fprintf(w, handleAnswer, id)
	default:
		s.run(w, r)
	}
}

// misdirected tells whether a request is for another instance, stage or version.
func (s *server) misdirected(header http.Header) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if expected := header.Get(headerExpected); expected != "" && expected != s.id {
		return true
	}
	if s.stage == "" {
		return false
	}
	version := header.Get(headerVersion)
	return version != "" && version != weightsVersion || (header.Get(headerStage) == stagePrefill) != (s.stage == stagePrefill)
}

// order changes the stage after a while.
func (s *server) order(w http.ResponseWriter) {
	w.WriteHeader(http.StatusAccepted)
	time.AfterFunc(switchFor, func() {
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
func (s *server) feed(w http.ResponseWriter, id, last string) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(last) // none: from the first on
	if from > 0 {
		s.checker.Resumed()
	}
	for event := from + 1; event <= feedEvents; event++ {
		if event > from+1 && rand.Float64() < partFeedBroken {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, feedEvent(id, event)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // a proxy that is gone needs none
		time.Sleep(plainWork)
	}
}

// run runs a request and answers it, but for some that are broken off.
func (s *server) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequest)
	draw := rand.Float64()
	if draw < partBrokenOff {
		panic(http.ErrAbortHandler)
	}
	s.checker.Ran(id)
	w.Header().Set(headerStamp, s.instance()+"."+id)
	if strings.HasPrefix(r.URL.Path, "/"+string(Feed)+"/") {
		s.feed(w, id, r.Header.Get(headerLastEvent))
		return
	}
	if s.service == modelService {
		time.Sleep(promptWork)
		w.Header().Set("Content-Type", "text/event-stream")
	} else {
		time.Sleep(plainWork)
	}
	if draw > 1-partAnswerLost {
		panic(http.ErrAbortHandler)
	}
	kind := Once
	if s.service == modelService {
		kind = Prompt
	}
	_, _ = io.Copy(w, strings.NewReader(answerTo(kind, id))) // a proxy that is gone needs none
}
