// Package faultinjection rehearses slow and failed requests: it says which requests of a class are delayed or aborted while a
// drill runs. It knows no sockets and no clock; whoever starts a drill must know its secret.
package faultinjection

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"math/rand/v2"
)

// Drill is one rehearsal, as the operators have written it.
type Drill struct {
	Name      string
	Class     string
	Share     float64 // percent of the class's requests
	DelayMS   float64
	Abort     string // "503", or "none"
	DurationS float64
}

// Settings are the drills that can be started, and the SHA-256 of the secret that starts them; without one none can.
type Settings struct {
	List   []Drill
	Secret []byte
}

// What a start can fail for.
var (
	ErrSecret  = errors.New("wrong secret")
	ErrUnknown = errors.New("no such drill")
	ErrMark    = errors.New("it was not started by the secret that is known here")
)

// Hits counts the requests that a drill has touched.
type Hits struct {
	Drill string `json:"drill"`
	Class string `json:"class"`
	Hits  uint64 `json:"hits"`
}

// Set holds the drills and which of them run.
type Set struct {
	Settings
	until []float64 // when each ends
	hits  []Hits
	draw  func() float64
}

// New returns drills of which none runs.
func New(s Settings) *Set {
	d := &Set{Settings: s, until: make([]float64, len(s.List)), hits: make([]Hits, len(s.List)), draw: rand.Float64}
	for i, e := range s.List {
		d.hits[i] = Hits{Drill: e.Name, Class: e.Class}
	}
	return d
}

// Armed tells whether drills can be started at all.
func (s *Set) Armed() bool { return len(s.Secret) > 0 }

// Start starts a drill, or begins its time anew. The secret is looked at first: without it nobody learns which
// drills there are.
func (s *Set) Start(now float64, secret []byte, name string) (Drill, error) {
	sum := sha256.Sum256(secret)
	if !s.Armed() || subtle.ConstantTimeCompare(sum[:], s.Secret) != 1 {
		return Drill{}, ErrSecret
	}
	for i, d := range s.List {
		if d.Name == name {
			s.until[i] = now + d.DurationS
			return d, nil
		}
	}
	return Drill{}, ErrUnknown
}

// Mark returns what shows who has the same hash that the secret of a drill was looked at, by its id.
func (s *Set) Mark(id uint64, name string) []byte {
	mac := hmac.New(sha256.New, s.Secret)
	mac.Write(binary.BigEndian.AppendUint64(nil, id)) // never fails, as below
	mac.Write([]byte(name))
	return mac.Sum(nil)
}

// Run has a drill run for what is left of it, which another has started. It never runs longer than it is written here.
func (s *Set) Run(now float64, id uint64, name string, mark []byte, leftS float64) (Drill, error) {
	if !s.Armed() || !hmac.Equal(mark, s.Mark(id, name)) {
		return Drill{}, ErrMark
	}
	for i, d := range s.List {
		if d.Name == name {
			s.until[i] = max(s.until[i], now+min(leftS, d.DurationS))
			return d, nil
		}
	}
	return Drill{}, ErrUnknown
}

// Hit returns the drill that touches a request of a class, nil for most. One draw decides for all that run: each
// gets its own share as long as they are 100 together, and no request meets two.
func (s *Set) Hit(now float64, class string) *Drill {
	from, x := 0.0, -1.0
	for i := range s.List {
		d := &s.List[i]
		if d.Class != class || now >= s.until[i] {
			continue
		}
		if x < 0 {
			x = 100 * s.draw()
		}
		if x >= from && x < from+d.Share {
			s.hits[i].Hits++
			return d
		}
		from += d.Share
	}
	return nil
}

// Hits returns the count of each drill, in the file's order.
func (s *Set) Hits() []Hits { return s.hits }
