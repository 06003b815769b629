// Package faultinjection delays or aborts a part of the requests of a class, so that operators can rehearse slow and failed requests (called
// drills in settings and messages). It decides which requests a running fault affects; the sidecar delays or aborts them. A fault is started with a
// secret, of which the settings hold the hash, or with a signature of another sidecar that has the same hash.
package faultinjection

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"math/rand/v2"
)

// Fault is the configuration of a fault.
type Fault struct {
	Name            string
	Class           string  // class of the requests that it affects
	Percent         float64 // of the class's requests
	DelayMS         float64
	Abort           string // "503": requests are aborted; "none": they are not
	DurationSeconds float64
}

// Settings are the faults that can be started and the SHA-256 hash of the secret that starts them. Without a hash no fault can be started.
type Settings struct {
	Faults     []Fault
	SecretHash []byte
}

var (
	// ErrSecret is returned for a wrong secret, and for any secret if the settings have no hash.
	ErrSecret = errors.New("wrong secret")
	// ErrUnknown is returned for a name that no fault has.
	ErrUnknown = errors.New("no such drill")
	// ErrSignature is returned for a signature that was not made with the hash in the settings.
	ErrSignature = errors.New("it was not started by the secret that is known here")
)

// HitCount counts the requests that a fault has affected. JSON keys are read by operators' tools.
type HitCount struct {
	Fault string `json:"drill"`
	Class string `json:"class"`
	Count uint64 `json:"hits"`
}

// Injector starts faults and matches requests with those that run. Its methods must not be called concurrently. Times are in seconds, by
// any clock.
type Injector struct {
	Settings
	until  []float64 // when each fault ends, by its index in Settings.Faults
	counts []HitCount
	draw   func() float64 // uniform in [0, 1)
}

// New returns an Injector without a running fault.
func New(settings Settings) *Injector {
	i := &Injector{Settings: settings, until: make([]float64, len(settings.Faults)), counts: make([]HitCount, len(settings.Faults)), draw: rand.Float64}
	for n, f := range settings.Faults {
		i.counts[n] = HitCount{Fault: f.Name, Class: f.Class}
	}
	return i
}

// IsArmed reports whether faults can be started at all.
func (i *Injector) IsArmed() bool { return len(i.SecretHash) > 0 }

// Start starts a fault, or restarts its duration if it runs. The error is ErrSecret or ErrUnknown. The secret is checked first, so that
// the faults' names can't be guessed without it.
func (i *Injector) Start(now float64, secret []byte, name string) (Fault, error) {
	hash := sha256.Sum256(secret)
	if !i.IsArmed() || subtle.ConstantTimeCompare(hash[:], i.SecretHash) != 1 {
		return Fault{}, ErrSecret
	}
	n, ok := i.index(name)
	if !ok {
		return Fault{}, ErrUnknown
	}
	i.until[n] = now + i.Faults[n].DurationSeconds
	return i.Faults[n], nil
}

// Sign returns the signature with which other sidecars with the same hash start a fault by StartRemote. id identifies this start of the fault.
func (i *Injector) Sign(id uint64, name string) []byte {
	mac := hmac.New(sha256.New, i.SecretHash)
	mac.Write(binary.BigEndian.AppendUint64(nil, id)) // never fails, as below
	mac.Write([]byte(name))
	return mac.Sum(nil)
}

// StartRemote starts a fault that another sidecar has started, for its remaining time, at most for the fault's duration. It never shortens
// a fault that runs. The error is ErrSignature or ErrUnknown.
func (i *Injector) StartRemote(now float64, id uint64, name string, signature []byte, remainingSeconds float64) (Fault, error) {
	if !i.IsArmed() || !hmac.Equal(signature, i.Sign(id, name)) {
		return Fault{}, ErrSignature
	}
	n, ok := i.index(name)
	if !ok {
		return Fault{}, ErrUnknown
	}
	i.until[n] = max(i.until[n], now+min(remainingSeconds, i.Faults[n].DurationSeconds))
	return i.Faults[n], nil
}

// index returns the index of the first fault with a name.
func (i *Injector) index(name string) (n int, ok bool) {
	for n := range i.Faults {
		if i.Faults[n].Name == name {
			return n, true
		}
	}
	return 0, false
}

// Match returns the fault that affects a request of a class and counts the hit, or returns nil if there is none. One random draw decides for
// all running faults of the class, so that no request is affected by two. Each fault gets its percentage if they add up to at most 100.
func (i *Injector) Match(now float64, class string) *Fault {
	from, drawn := 0.0, -1.0
	for n := range i.Faults {
		f := &i.Faults[n]
		if f.Class != class || now >= i.until[n] {
			continue
		}
		if drawn < 0 {
			drawn = 100 * i.draw()
		}
		if drawn >= from && drawn < from+f.Percent {
			i.counts[n].Count++
			return f
		}
		from += f.Percent
	}
	return nil
}

// HitCounts returns the count of each fault, in the order of the settings. The caller must not change the slice.
func (i *Injector) HitCounts() []HitCount { return i.counts }
