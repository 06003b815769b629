package faultinjection

import (
	"crypto/sha256"
	"testing"

	"github.com/stretchr/testify/assert"
)

// With evenly spaced draws, faults of one class that run at the same time affect exactly their percentages, each for its own duration.
func TestPercentagesAreExact(t *testing.T) {
	sum := sha256.Sum256([]byte("s3"))
	s := New(Settings{SecretHash: sum[:], Faults: []Fault{{Name: "a", Class: "c", Percent: 10, DurationSeconds: 60},
		{Name: "b", Class: "c", Percent: 25, DurationSeconds: 30}, {Name: "none", Class: "c", DurationSeconds: 99}, {Name: "x", Class: "d", Percent: 100, DurationSeconds: 99}}})
	n := 0
	s.draw = func() float64 { n++; return float64(n%1000) / 1000 }
	countMatches := func(now float64) (a, b, other int) {
		for range 1000 {
			switch d := s.Match(now, "c"); {
			case d == nil:
			case d.Name == "a":
				a++
			case d.Name == "b":
				b++
			default:
				other++
			}
		}
		return a, b, other
	}
	expect := func(now float64, a, b int) {
		x, y, other := countMatches(now)
		assert.Equal(t, [3]int{a, b, 0}, [3]int{x, y, other}, "at %v", now)
	}
	start := func(now float64, name string) {
		_, err := s.Start(now, []byte("s3"), name)
		assert.NoError(t, err)
	}
	expect(0, 0, 0)
	start(0, "none")
	start(0, "a")
	expect(59, 100, 0)
	start(59, "b")
	expect(59, 100, 250)
	expect(60, 0, 250)
	start(61, "a")
	start(88, "b")
	expect(117, 100, 250)
	expect(118, 100, 0)
	assert.Equal(t, []HitCount{{"a", "c", 400}, {"b", "c", 750}, {"none", "c", 0}, {"x", "d", 0}}, s.HitCounts())

	for name, want := range map[string]error{"s3": ErrUnknown, "s3 ": ErrSecret, "": ErrSecret} {
		_, err := s.Start(0, []byte(name), "nobody's")
		assert.ErrorIs(t, err, want)
	}
	_, err := New(Settings{Faults: s.Faults}).Start(0, nil, "a")
	assert.ErrorIs(t, err, ErrSecret, "without a hash no secret is right")
}

// A fault that another sidecar has started is started here only with a valid signature, and runs for the remaining time, at most for its
// duration.
func TestRemoteStartNeedsASignature(t *testing.T) {
	sum := sha256.Sum256([]byte("s3"))
	s := New(Settings{SecretHash: sum[:], Faults: []Fault{{Name: "a", Class: "c", Percent: 100, DurationSeconds: 60}}})
	signature := s.Sign(7, "a")
	for _, wrong := range [][]byte{nil, s.Sign(8, "a"), s.Sign(7, "b")} {
		_, err := s.StartRemote(0, 7, "a", wrong, 5)
		assert.ErrorIs(t, err, ErrSignature)
	}
	_, err := New(Settings{Faults: s.Faults}).StartRemote(0, 7, "a", New(Settings{}).Sign(7, "a"), 5)
	assert.ErrorIs(t, err, ErrSignature, "without a hash no signature is right")
	_, err = s.StartRemote(0, 7, "b", s.Sign(7, "b"), 5)
	assert.ErrorIs(t, err, ErrUnknown)
	assert.Nil(t, s.Match(0, "c"))
	_, err = s.StartRemote(0, 7, "a", signature, 5)
	assert.NoError(t, err)
	assert.NotNil(t, s.Match(4.9, "c"))
	assert.Nil(t, s.Match(5, "c"))
	_, err = s.StartRemote(10, 9, "a", s.Sign(9, "a"), 1e9)
	assert.NoError(t, err)
	assert.NotNil(t, s.Match(69.9, "c"))
	assert.Nil(t, s.Match(70, "c"))
}
