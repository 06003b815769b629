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
	listName = "list"

	kindWord  = 1 // listWord, to all
	kindNeed  = 2 // listNeed, over one link
	kindWhole = 3 // listWhole, over the same

	// tryS after the last good news a sidecar begins a watch of its own, at most trySpreadS later: discovery says something every
	// 2 s. After silentS without news it counts as a watch that has broken, as a watch of its own does.
	tryS, trySpreadS, silentS = 3.0, 1.0, 5.0
	// distrustS is how long a sidecar goes by its own watch after what was passed on was not what it knew.
	distrustS = 30.0
	// deafS is how long an owner may hear nothing of discovery while others do.
	deafS = 10.0
	// lateS is how long an owner goes on whose lease was not renewed, while nobody else is known to have been granted the job.
	lateS = 60.0
	// needAgainS is between two calls for the whole list, and how long a call for one that is not there yet is remembered.
	needAgainS = 0.5
	// driftS is by how much more a second words may take that are none the older: clocks run 5 % apart.
	driftS = 0.1

	mostRaw  = 40 << 10 // packed bytes of changes that go to all; what is longer is asked for
	partSize = 32 << 10 // of a whole list
	mostList = 8 << 20  // a whole list, unpacked
	// mostAsking bounds who waits for a whole list.
	mostAsking = 64
)

// listNames are the jobs of the three.
var listNames = [...]string{listName, listName + "-2", listName + "-3"}

// withLists returns jobs with those that stand for "list".
func withLists(jobs []string) (all []string) {
	for _, name := range jobs {
		if name == listName {
			all = append(all, listNames[:]...)
		} else {
			all = append(all, name)
		}
	}
	return all
}

// listWord says what discovery has written, or that it has said that all is as it was.
type listWord struct {
	Discovery string  `msgpack:"d"` // its address: each counts its own versions
	Index     uint64  `msgpack:"i"` // of the list that its owner holds now
	Sum       uint64  `msgpack:"s"`
	From      uint64  `msgpack:"f,omitempty"` // Raw are the changes since this version
	Raw       []byte  `msgpack:"r,omitempty"` // what discovery has written, packed; nil: who lacks the version asks for it
	AtS       float64 `msgpack:"t"`           // since the grant, by the owner's clock
	Ended     bool    `msgpack:"e,omitempty"` // the owner's watch has ended: no more will come for now
}

type listNeed struct {
	Discovery string `msgpack:"d"`
	Index     uint64 `msgpack:"i"` // that is wanted at least
}

type listWhole struct {
	Discovery string `msgpack:"d"`
	Index     uint64 `msgpack:"i"`
	Sum       uint64 `msgpack:"s"`
	Part      int    `msgpack:"p"`
	Parts     int    `msgpack:"n"`
	Body      []byte `msgpack:"b"` // of the packed list
}

func deflate(raw []byte) []byte {
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

// inflate unpacks what came from outside, of no more than mostList.
func inflate(b []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), mostList+1))
	if err == nil && len(raw) > mostList {
		err = errList
	}
	return raw, err
}
