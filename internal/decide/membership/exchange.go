package membership

import (
	"cmp"
	"maps"
	"slices"
)

// SampleRecords returns the records to tell in an exchange: the own one and others, drawn at random.
func (v *View) SampleRecords(now float64) []Record {
	records := append([]Record{v.self}, v.rebuttal...)
	v.rebuttal = nil
	names := slices.Sorted(maps.Keys(v.entries))
	v.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		if len(records) >= v.settings.RecordsPerExchange {
			break
		}
		// Danger: who is silent is not passed on, or old news would go round for ever.
		if e := v.entries[name]; v.alive(e, now) {
			records = append(records, e.record)
		}
	}
	return records
}

// SampleHeartbeats returns heartbeats to tell in an exchange: of all that live, or of some drawn at random.
func (v *View) SampleHeartbeats(now float64) []Heartbeat {
	var beats []Heartbeat
	for _, e := range v.entries {
		if v.alive(e, now) {
			beats = append(beats, Heartbeat{Key: e.record.key(), Counter: e.record.Heartbeat})
		}
	}
	slices.SortFunc(beats, func(a, b Heartbeat) int { return cmp.Compare(a.Key, b.Key) })
	if len(beats) > v.settings.HeartbeatsPerExchange {
		v.rng.Shuffle(len(beats), func(i, j int) { beats[i], beats[j] = beats[j], beats[i] })
		beats = beats[:v.settings.HeartbeatsPerExchange]
	}
	return beats
}

// MergeHeartbeats takes heartbeats that a peer told.
func (v *View) MergeHeartbeats(now float64, beats []Heartbeat) {
	if len(beats) == 0 {
		return
	}
	byKey := make(map[uint32]uint64, len(beats))
	for _, beat := range beats {
		byKey[beat.Key] = beat.Counter
	}
	for _, e := range v.entries {
		if heartbeat, ok := byKey[e.record.key()]; ok && heartbeat > e.record.Heartbeat {
			e.record.Heartbeat, e.heard = heartbeat, now
		}
	}
}

// MergeRecords takes records that a peer told. It returns whether a process came that was not known.
func (v *View) MergeRecords(now float64, records []Record) (came bool) {
	for i := range records {
		if v.merge(now, &records[i]) {
			came = true
		}
	}
	v.refill(now)
	v.shuffle(records)
	return came
}

func (v *View) merge(now float64, record *Record) bool {
	if record.Name == "" || record.Address == "" {
		return false
	}
	if record.Name == v.self.Name {
		v.outbid(record)
		return false
	}
	if old, ok := v.dead[record.Name]; ok && !record.newer(&old) {
		v.rebut(&old, record)
		return false
	}
	known := v.entries[record.Name]
	if known == nil {
		delete(v.dead, record.Name)
		v.entries[record.Name] = &entry{*record, now}
		return true
	}
	if record.Incarnation == known.record.Incarnation && record.RunID == known.record.RunID {
		known.update(now, record)
		return false
	}
	if record.newer(&known.record) {
		came := record.RunID != known.record.RunID
		known.record, known.heard = *record, now
		return came
	}
	v.rebut(&known.record, record)
	return false
}

// update takes what another copy of the same life's record says.
func (e *entry) update(now float64, record *Record) {
	heartbeat := e.record.Heartbeat
	if record.Heartbeat > heartbeat {
		heartbeat, e.heard = record.Heartbeat, now
	}
	if record.Revision > e.record.Revision {
		e.record = *record
	}
	e.record.Heartbeat = heartbeat
}

// rebut keeps a record for the next exchange where another life of the same process told an older one, so that it outbids it.
func (v *View) rebut(newest, told *Record) {
	const most = 4
	if newest.RunID != told.RunID && len(v.rebuttal) < most {
		v.rebuttal = append(v.rebuttal, *newest)
	}
}

// outbid makes sure that this life's record is newer than that of one before. Clocks jump and diskless processes remember nothing.
func (v *View) outbid(record *Record) {
	if record.RunID != v.self.RunID && record.Incarnation >= v.self.Incarnation {
		v.self.Incarnation = record.Incarnation + 1
	}
}
