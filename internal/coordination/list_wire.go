package coordination

import (
	"bytes"
	"compress/flate"
	"io"
)

// The job "list": up to three owners, each of a job of its own, keep watches at discovery and pass on what it writes, its signs of
// life too; the others go by that in place of a watch. Three watch, so that nobody's death makes the news old; nothing is lost where
// two of them are one, or say the same.
const (
	listRoleName = "list"

	kindListUpdate  = 1 // listWord, to all
	kindListRequest = 2 // listNeed, over one link
	kindListChunk   = 3 // listWhole, over the same

	// ownWatchDelaySeconds after the last good news a sidecar begins a watch of its own, at most trySpreadS later: discovery says something every
	// 2 s. After silentS without news it counts as a watch that has broken, as a watch of its own does.
	ownWatchDelaySeconds, ownWatchJitterSeconds, staleSeconds = 3.0, 1.0, 5.0
	// distrustSeconds is how long a sidecar goes by its own watch after what was passed on was not what it knew.
	distrustSeconds = 30.0
	// discoverySilenceSeconds is how long an owner may hear nothing of discovery while others do.
	discoverySilenceSeconds = 10.0
	// lapseGraceSeconds is how long an owner goes on whose lease was not renewed, while nobody else is known to have been granted the job.
	lapseGraceSeconds = 60.0
	// listRequestRetrySeconds is between two calls for the whole list, and how long a call for one that is not there yet is remembered.
	listRequestRetrySeconds = 0.5
	// clockDriftRate is by how much more a second words may take that are none the older: clocks run 5 % apart.
	clockDriftRate = 0.1

	maxDeltaBytes = 40 << 10 // packed bytes of changes that go to all; what is longer is asked for
	chunkBytes    = 32 << 10 // of a whole list
	maxListBytes  = 8 << 20  // a whole list, unpacked
	// maxWaiters bounds who waits for a whole list.
	maxWaiters = 64
)

// listRoleNames are the jobs of the three.
var listRoleNames = [...]string{listRoleName, listRoleName + "-2", listRoleName + "-3"}

// expandListRoles returns jobs with those that stand for "list".
func expandListRoles(jobs []string) (all []string) {
	for _, name := range jobs {
		if name == listRoleName {
			all = append(all, listRoleNames[:]...)
		} else {
			all = append(all, name)
		}
	}
	return all
}

// listUpdate says what discovery has written, or that it has said that all is as it was.
type listUpdate struct {
	Discovery  string  `msgpack:"d"` // its address: each counts its own versions
	Index      uint64  `msgpack:"i"` // of the list that its owner holds now
	Checksum   uint64  `msgpack:"s"`
	BaseIndex  uint64  `msgpack:"f,omitempty"` // Raw are the changes since this version
	Delta      []byte  `msgpack:"r,omitempty"` // what discovery has written, packed; nil: who lacks the version asks for it
	AtSeconds  float64 `msgpack:"t"`           // since the grant, by the owner's clock
	WatchEnded bool    `msgpack:"e,omitempty"` // the owner's watch has ended: no more will come for now
}

type listRequest struct {
	Discovery string `msgpack:"d"`
	Index     uint64 `msgpack:"i"` // that is wanted at least
}

type listChunk struct {
	Discovery string `msgpack:"d"`
	Index     uint64 `msgpack:"i"`
	Checksum  uint64 `msgpack:"s"`
	Chunk     int    `msgpack:"p"`
	Chunks    int    `msgpack:"n"`
	Body      []byte `msgpack:"b"` // of the packed list
}

func compress(raw []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(raw)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil { // a buffer takes all, and the level is one that there is
		panic(err)
	}
	return b.Bytes()
}

// decompress unpacks what came from outside, of no more than mostList.
func decompress(b []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxListBytes+1))
	if err == nil && len(raw) > maxListBytes {
		err = errListMismatch
	}
	return raw, err
}
