package membership

import (
	"cmp"
	"maps"
	"slices"
)

// maxRefutations bounds the refutations that are queued for the next exchange.
const maxRefutations = 4

// SampleRecords returns the records to send in an exchange: the local one, refutations, and a random sample of the others.
func (v *View) SampleRecords(now float64) []Record {
	records := append([]Record{v.self}, v.refutations...)
	v.refutations = nil
	names := slices.Sorted(maps.Keys(v.known))
	v.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		if len(records) >= v.settings.RecordsPerExchange {
			break
		}
		// Danger: records of unreachable processes must not be sent, or they would circulate forever.
		if process := v.known[name]; v.isAlive(process, now) {
			records = append(records, process.record)
		}
	}
	return records
}

// SampleHeartbeats returns the heartbeats to send in an exchange: those of all live processes, or of a random sample if they
// don't all fit.
func (v *View) SampleHeartbeats(now float64) []Heartbeat {
	var heartbeats []Heartbeat
	for _, process := range v.known {
		if v.isAlive(process, now) {
			heartbeats = append(heartbeats, Heartbeat{Key: process.record.heartbeatKey(), Counter: process.record.Heartbeat})
		}
	}
	slices.SortFunc(heartbeats, func(a, b Heartbeat) int { return cmp.Compare(a.Key, b.Key) })
	if len(heartbeats) > v.settings.HeartbeatsPerExchange {
		v.rng.Shuffle(len(heartbeats), func(i, j int) { heartbeats[i], heartbeats[j] = heartbeats[j], heartbeats[i] })
		heartbeats = heartbeats[:v.settings.HeartbeatsPerExchange]
	}
	return heartbeats
}

// MergeHeartbeats adopts received heartbeats that are higher than the known ones. Those of unknown runs are ignored.
func (v *View) MergeHeartbeats(now float64, heartbeats []Heartbeat) {
	if len(heartbeats) == 0 {
		return
	}
	byKey := make(map[uint32]uint64, len(heartbeats))
	for _, heartbeat := range heartbeats {
		byKey[heartbeat.Key] = heartbeat.Counter
	}
	for _, process := range v.known {
		if counter, ok := byKey[process.record.heartbeatKey()]; ok && counter > process.record.Heartbeat {
			process.record.Heartbeat, process.updatedAt = counter, now
		}
	}
}

// MergeRecords adopts received records that are newer than the known ones. It reports whether any of them is of a process or
// run that was not known.
func (v *View) MergeRecords(now float64, records []Record) (hasNew bool) {
	for i := range records {
		if v.mergeRecord(now, &records[i]) {
			hasNew = true
		}
	}
	v.refillPeers(now)
	v.replacePeer(records)
	return hasNew
}

// mergeRecord adopts a record if it is newer than the known one. It reports whether the process or run was not known.
func (v *View) mergeRecord(now float64, record *Record) bool {
	if record.Name == "" || record.Address == "" {
		return false
	}
	if record.Name == v.self.Name {
		v.raiseIncarnation(record)
		return false
	}
	if old, ok := v.forgotten[record.Name]; ok && !record.isNewerThan(&old) {
		v.queueRefutation(&old, record)
		return false
	}
	known := v.known[record.Name]
	if known == nil {
		delete(v.forgotten, record.Name)
		v.known[record.Name] = &knownProcess{*record, now}
		return true
	}
	if record.Incarnation == known.record.Incarnation && record.RunID == known.record.RunID {
		known.mergeSameRun(now, record)
		return false
	}
	if record.isNewerThan(&known.record) {
		isNewRun := record.RunID != known.record.RunID
		known.record, known.updatedAt = *record, now
		return isNewRun
	}
	v.queueRefutation(&known.record, record)
	return false
}

// mergeSameRun adopts the higher heartbeat and the later revision of another copy of the same run's record.
func (p *knownProcess) mergeSameRun(now float64, record *Record) {
	heartbeat := p.record.Heartbeat
	if record.Heartbeat > heartbeat {
		heartbeat, p.updatedAt = record.Heartbeat, now
	}
	if record.Revision > p.record.Revision {
		p.record = *record
	}
	p.record.Heartbeat = heartbeat
}

// queueRefutation queues the newest known record of a process for the next exchange if the received, older one is of another
// run. This tells that run which incarnation it has to exceed.
func (v *View) queueRefutation(newest, received *Record) {
	if newest.RunID != received.RunID && len(v.refutations) < maxRefutations {
		v.refutations = append(v.refutations, *newest)
	}
}

// raiseIncarnation raises the local incarnation above that of another run of this process. The incarnation is taken from the
// wall clock, which may step back between runs, and processes without a disk can't store the last one.
func (v *View) raiseIncarnation(record *Record) {
	if record.RunID != v.self.RunID && record.Incarnation >= v.self.Incarnation {
		v.self.Incarnation = record.Incarnation + 1
	}
}
