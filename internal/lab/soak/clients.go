package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// clientsPerEdge is the number of clients for each edge machine, clientPause the mean time between a client's requests.
	clientsPerEdge = 3
	clientPause    = 120 * time.Millisecond
	connectWithin  = time.Second
	// mischiefPart is the part of the requests on which clients send fields that are the system's, addedPart that on added routes.
	mischiefPart = 0.1
	addedPart    = 0.25
	// piecesPart is the part of the requests whose bodies come in pieces, without a length before, piecePause the time between two pieces.
	piecesPart = 0.15
	piecePause = 15 * time.Millisecond
	// newestRoutes is how many of the newest routes clients ask for.
	newestRoutes = 10
)

// clients ask until they are stopped.
type clients struct {
	fleet   *fleet
	checker *Checker
	routes  *atomic.Int64 // the newest added route that was confirmed
	count   atomic.Int64
}

// client keeps one connection to one machine for as long as that takes it.
type client struct {
	*clients
	rng  *rand.Rand
	at   *machine
	http *http.Client
}

// run asks until the context ends.
func (c *clients) run(ctx context.Context, seed uint64) {
	one := &client{clients: c, rng: rand.New(rand.NewPCG(seed, 1))}
	one.move()
	for ctx.Err() == nil {
		one.ask(ctx)
		pause(ctx, time.Duration(one.rng.ExpFloat64()*float64(clientPause)))
	}
	one.http.CloseIdleConnections()
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// move turns to another machine.
func (c *client) move() {
	if c.http != nil {
		c.http.CloseIdleConnections()
	}
	c.at = c.fleet.fronts()[c.rng.IntN(len(c.fleet.fronts()))]
	dialer := &net.Dialer{Timeout: connectWithin}
	c.http = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true}}
}

// draw makes a request.
func (c *client) draw(ctx context.Context) (*http.Request, Outcome, error) {
	id := fmt.Sprintf("%016x", c.rng.Uint64())
	o := Outcome{ID: id, Kind: []Kind{Once, Safe, Prompt, Feed}[c.rng.IntN(4)], Edge: c.at.name}
	path := "/" + string(o.Kind) + "/x"
	if newest := int(c.routes.Load()); newest > 0 && c.rng.Float64() < addedPart {
		o.Kind, o.Route = Once, max(newest-c.rng.IntN(newestRoutes), 1)
		path = addedPath(o.Route) + "x"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.fleet.front(c.at)+path, c.body(id))
	if err != nil {
		return nil, o, err
	}
	request.Host = host
	request.Header.Set(headerRequest, id)
	request.Header.Set(headerDeadline, fmt.Sprint(requestDeadline.Milliseconds()))
	if o.Kind == Prompt {
		request.Header.Set(headerTokens, "12000,4")
		request.Header.Set(headerPrefix, fmt.Sprintf("aa:500,bb%d:5000,%s:6500", c.rng.IntN(4), id))
	}
	if c.rng.Float64() < mischiefPart {
		mischief := [][2]string{{headerStage, stagePrefill}, {headerVersion, "7"}, {headerExpected, "i-other"}, {"Kv-From", "127.0.0.1:1/none"}}
		field := mischief[c.rng.IntN(len(mischief))]
		request.Header.Set(field[0], field[1])
	}
	return request, o, nil
}

// body returns the body of a request, of some in pieces.
func (c *client) body(id string) io.Reader {
	if c.rng.Float64() < piecesPart {
		return &pieces{left: bodyOf(id)}
	}
	return strings.NewReader(bodyOf(id))
}

// pieces reads a text piece by piece, with a pause before each but the first.
type pieces struct {
	left  string
	begun bool
}

const pieceBytes = 5

func (p *pieces) Read(to []byte) (int, error) {
	if p.left == "" {
		return 0, io.EOF
	}
	if p.begun {
		time.Sleep(piecePause)
	}
	p.begun = true
	n := copy(to, p.left[:min(pieceBytes, len(p.left))])
	p.left = p.left[n:]
	return n, nil
}

// ask sends a request and tells the checker what came of it.
func (c *client) ask(ctx context.Context) {
	waiting, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestDeadline+machineSlack)
	defer cancel()
	request, o, err := c.draw(waiting)
	if err != nil {
		c.checker.Break(OwnAnswer, "a request can't be made: %v", err)
		return
	}
	proxy := c.at.process(roleProxy)
	o.Life = proxy.life()
	c.checker.Sending(o.ID, o.Kind)
	c.count.Add(1)
	o.Sent = time.Now()
	o.take(c.http.Do(request))
	o.Ended = time.Now()
	o.Trouble = c.at.troubled(o.Sent, o.Ended) || proxy.life() != o.Life
	c.checker.Ended(o)
	if o.Status == 0 {
		c.move()
	}
}

// take notes the answer, or how the request ended without one.
func (o *Outcome) take(answer *http.Response, err error) {
	if err == nil {
		defer answer.Body.Close()
		var body []byte
		body, err = io.ReadAll(answer.Body)
		o.Body = string(body)
		if err == nil {
			o.Status, o.Stamp = answer.StatusCode, answer.Header.Get(headerStamp) != ""
			return
		}
	}
	var dialing *net.OpError
	switch {
	case errors.As(err, &dialing) && dialing.Op == "dial":
		o.Fresh = true
	case errors.Is(err, context.DeadlineExceeded):
		o.Silent = true
	default:
		o.Closed = true
	}
}

// life counts the lives of a process.
func (p *process) life() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lives
}
