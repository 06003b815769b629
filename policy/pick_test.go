package policy

import "testing"

// Attempts in another zone have a price: of two equal hosts the one in the own zone is picked, and the other one only while that
// is busy.
func TestOwnZoneIsPreferred(t *testing.T) {
	s := baseSettings()
	s.Zone, s.CrossZonePrice = 1, 0.06
	r := newRecorder(t, s)
	hosts := readyHosts(1, 2)
	hosts[1].Zone = 1
	r.updateHosts(ListFull, hosts...)
	sent := map[uint32]int{}
	for i := range uint32(50) {
		r.advance(r.now + 0.02)
		q := r.request(Request{ID: 1 + i, Deadline: r.now + 0.9})
		sent[q.attempts[0].host]++
		r.finish(q, 0, OK)
	}
	if sent[2] < 45 {
		t.Errorf("%d of 50 requests stay in the zone", sent[2])
	}
	for i := range uint32(10) { // these stay in flight
		sent[r.request(Request{ID: 100 + i, Deadline: r.now + 0.9}).attempts[0].host]++
	}
	if sent[1] < 2 {
		t.Errorf("%d of 10 requests go to the other zone while the host in the own zone is busy, want at least 2", sent[1])
	}
}
