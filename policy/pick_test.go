package policy

import "testing"

// Crossing to another zone has its price: of hosts that do equally well the near one is taken, and the far one while
// the near one is busy.
func TestOwnZoneGoesFirst(t *testing.T) {
	s := plain()
	s.Zone, s.CrossZonePrice = 1, 0.06
	r := newRecorder(t, s)
	hosts := ready(1, 2)
	hosts[1].Zone = 1
	r.list(ListFull, hosts...)
	sent := map[uint32]int{}
	for i := range uint32(50) {
		r.advance(r.now + 0.02)
		q := r.request(Request{ID: 1 + i, Deadline: r.now + 0.9})
		sent[q.sends[0].host]++
		r.finish(q, 0, OK)
	}
	if sent[2] < 45 {
		t.Errorf("%d of 50 requests stay in the zone", sent[2])
	}
	for i := range uint32(10) { // these stay out
		sent[r.request(Request{ID: 100 + i, Deadline: r.now + 0.9}).sends[0].host]++
	}
	if sent[1] < 2 {
		t.Errorf("%d requests go to the other zone while the near host is busy", sent[1])
	}
}
