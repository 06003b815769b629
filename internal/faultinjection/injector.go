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

// Fault is one rehearsal, as the operators have written it.
type Fault struct {
	Name            string
	Class           string
	Percent         float64 // percent of the class's requests
	DelayMS         float64
	Abort           string // "503", or "none"
	DurationSeconds float64
}

// Settings are the drills that can be started, and the SHA-256 of the secret that starts them; without one none can.
type Settings struct {
	Faults     []Fault
	SecretHash []byte
}

// What a start can fail for.
var (
	ErrSecret    = errors.New("wrong secret")
	ErrUnknown   = errors.New("no such drill")
	ErrSignature = errors.New("it was not started by the secret that is known here")
)

// HitCount counts the requests that a drill has touched.
type HitCount struct {
	Fault string `json:"drill"`
	Class string `json:"class"`
	Count uint64 `json:"hits"`
}

// Injector holds the drills and which of them run.
type Injector struct {
	Settings
	until []float64 // when each ends
	hits  []HitCount
	draw  func() float64
}

// New returns drills of which none runs.
func New(s Settings) *Injector {
	d := &Injector{Settings: s, until: make([]float64, len(s.Faults)), hits: make([]HitCount, len(s.Faults)), draw: rand.Float64}
	for i, e := range s.Faults {
		d.hits[i] = HitCount{Fault: e.Name, Class: e.Class}
	}
	return d
}

// IsArmed tells whether drills can be started at all.
func (s *Injector) IsArmed() bool { return len(s.SecretHash) > 0 }

// Start starts a drill, or begins its time anew. The secret is looked at first: without it nobody learns which
// drills there are.
func (s *Injector) Start(now float64, secret []byte, name string) (Fault, error) {
	sum := sha256.Sum256(secret)
	if !s.IsArmed() || subtle.ConstantTimeCompare(sum[:], s.SecretHash) != 1 {
		return Fault{}, ErrSecret
	}
	for i, d := range s.Faults {
		if d.Name == name {
			s.until[i] = now + d.DurationSeconds
			return d, nil
		}
	}
	return Fault{}, ErrUnknown
}

// Sign returns what shows who has the same hash that the secret of a drill was looked at, by its id.
func (s *Injector) Sign(id uint64, name string) []byte {
	mac := hmac.New(sha256.New, s.SecretHash)
	mac.Write(binary.BigEndian.AppendUint64(nil, id)) // never fails, as below
	mac.Write([]byte(name))
	return mac.Sum(nil)
}

// StartRemote has a drill run for what is left of it, which another has started. It never runs longer than it is written here.
func (s *Injector) StartRemote(now float64, id uint64, name string, mark []byte, leftS float64) (Fault, error) {
	if !s.IsArmed() || !hmac.Equal(mark, s.Sign(id, name)) {
		return Fault{}, ErrSignature
	}
	for i, d := range s.Faults {
		if d.Name == name {
			s.until[i] = max(s.until[i], now+min(leftS, d.DurationSeconds))
			return d, nil
		}
	}
	return Fault{}, ErrUnknown
}

// Match returns the drill that touches a request of a class, nil for most. One draw decides for all that run: each
// gets its own share as long as they are 100 together, and no request meets two.
func (s *Injector) Match(now float64, class string) *Fault {
	from, x := 0.0, -1.0
	for i := range s.Faults {
		d := &s.Faults[i]
		if d.Class != class || now >= s.until[i] {
			continue
		}
		if x < 0 {
			x = 100 * s.draw()
		}
		if x >= from && x < from+d.Percent {
			s.hits[i].Count++
			return d
		}
		from += d.Percent
	}
	return nil
}

// HitCounts returns the count of each drill, in the file's order.
func (s *Injector) HitCounts() []HitCount { return s.hits }
