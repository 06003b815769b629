package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/store"
)

// The kinds of records in the store.
const (
	stateRecord  store.Kind = 1
	configRecord store.Kind = 2
)

const (
	// snapshotAt is the size of a segment, in bytes, at which a snapshot takes its place.
	snapshotAt = 8 << 20
	// retryWrite is the pause before a start that could not write its identity tries again.
	retryWrite = 200 * time.Millisecond
	// mostConfigs bounds the configurations whose bytes are kept in memory and in snapshots, mostLent those in memory while others
	// fetch them, and lentFor is how long after a piece was asked for somebody may come for the next one.
	mostConfigs = 2
	mostLent    = 5
	lentFor     = 3 * time.Second
)

// replica hosts the acceptor and its disk.
type replica struct {
	log *logrus.Entry

	writing sync.Mutex // held while the disk works; orders all that changes the state
	store   *store.Store

	mu       sync.Mutex // guards what follows; never held while the disk works
	acceptor *register.Acceptor
	configs  []storedConfig // the newest at the end
	found    bool           // the disk held a state at the start

	accepted chan struct{} // gets a signal when a configuration was accepted or learned
}

type storedConfig struct {
	digest register.Digest
	data   []byte
	lent   time.Time // when a piece of it was asked for last
}

// openReplica reads the disk. A process without a state founds the register if it is one of the founders, else it gets an
// identity that never voted.
func openReplica(settings *nodeconfig.Settings, log *logrus.Entry) (*replica, error) {
	opened, records, damage, err := store.Open(settings.DataDir)
	if err != nil {
		return nil, err
	}
	r := &replica{log: log, store: opened, accepted: make(chan struct{}, 1)}
	state, found := r.load(records)
	for _, place := range damage {
		log.WithField("tail", place.TornTail).Warn("store: " + place.String())
		if !place.TornTail {
			// Danger: what can't be read may have been a promise. Who forgot one must not vote as the one that made it.
			found = false
		}
	}
	if !found {
		// Danger: a founder whose disk held something may have promised something. Only an empty disk founds.
		state = newState(settings, !opened.IsUsed())
	}
	r.found = found
	r.acceptor = register.NewAcceptor(state)
	return r, nil
}

func (r *replica) load(records []store.Record) (state register.State, found bool) {
	for _, record := range records {
		switch record.Kind {
		case stateRecord:
			var next register.State
			if err := msgpack.Unmarshal(record.Data, &next); err != nil {
				r.log.WithError(err).Error("store: a state that can't be read")
				return state, false
			}
			state, found = next, true
		case configRecord:
			r.keep(register.DigestOf(record.Data), record.Data)
		}
	}
	return state, found
}

// newState returns the state of a disk without one. empty tells whether nothing was ever written to it.
func newState(settings *nodeconfig.Settings, empty bool) register.State {
	own := settings.Internal(settings.IP, nodeconfig.ControlPort)
	founders := settings.SeedAddresses()
	if empty && settings.Bootstrap && slices.Contains(founders, own) {
		return register.State{ID: founderID(own), Value: founding(founders)}
	}
	var nonce [8]byte
	_, _ = rand.Read(nonce[:]) // never fails
	return register.State{ID: own + "#" + hex.EncodeToString(nonce[:])}
}

func founderID(address string) string { return "founder@" + address }

// founding returns the value with which all founders begin.
func founding(addresses []string) register.Value {
	value := register.Value{Epoch: 1}
	for _, address := range addresses {
		value.Voters = append(value.Voters, register.Voter{ID: founderID(address), Address: address})
	}
	return value
}

// begin writes a snapshot of what was read. Nothing may be answered before an identity is on the disk. Where it was found there,
// a disk that takes no more bytes does not keep the process from telling what it holds.
func (r *replica) begin(ctx context.Context) error {
	for {
		r.writing.Lock()
		err := r.snapshot()
		r.writing.Unlock()
		if err == nil {
			return nil
		}
		r.log.WithError(err).Warn("store: the first write failed")
		if r.found {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryWrite):
		}
	}
}

// snapshot is for who holds writing.
func (r *replica) snapshot() error {
	r.mu.Lock()
	state, configs := r.acceptor.State(), slices.Clone(r.configs[max(len(r.configs)-mostConfigs, 0):])
	r.mu.Unlock()
	var records []store.Record
	for _, config := range configs {
		records = append(records, store.Record{Kind: configRecord, Data: config.data})
	}
	data, err := msgpack.Marshal(&state)
	if err != nil {
		return err
	}
	return r.store.Snapshot(append(records, store.Record{Kind: stateRecord, Data: data})...)
}

// check reads the disk again, and writes what this process holds anew where something was spoiled there.
func (r *replica) check() {
	r.writing.Lock()
	defer r.writing.Unlock()
	bad := r.store.Verify()
	if bad == nil {
		return
	}
	err := r.snapshot()
	r.log.WithError(err).WithField("place", bad.String()).Error("store: a file was spoiled; written anew")
}

// write puts a state, and a configuration where there is one, on the disk.
func (r *replica) write(state *register.State, config []byte) error {
	data, err := msgpack.Marshal(state)
	if err != nil {
		return err
	}
	var records []store.Record
	if config != nil {
		records = append(records, store.Record{Kind: configRecord, Data: config})
	}
	if err := r.store.Append(append(records, store.Record{Kind: stateRecord, Data: data})...); err != nil {
		r.log.WithError(err).Warn("store: a write failed")
		return err
	}
	r.mu.Lock()
	newer := state.Value.Version > r.acceptor.State().Value.Version
	r.acceptor.Stored(*state)
	if config != nil {
		r.keep(state.Value.Config, config)
	}
	r.mu.Unlock()
	if newer {
		signal(r.accepted)
	}
	if r.store.SegmentSize() > snapshotAt {
		if err := r.snapshot(); err != nil {
			r.log.WithError(err).Warn("store: a snapshot failed")
		}
	}
	return nil
}

// keep holds a configuration's bytes. Danger: those of the accepted value must never give way, so they are the newest. Those before
// stay while somebody fetches them: a newcomer on a slow link would else lose what has come of them with each change.
func (r *replica) keep(digest register.Digest, data []byte) {
	r.configs = slices.DeleteFunc(r.configs, func(c storedConfig) bool { return c.digest == digest })
	r.configs = append(r.configs, storedConfig{digest: digest, data: data})
	now := time.Now()
	for i := 0; i < len(r.configs)-mostConfigs; {
		if now.Sub(r.configs[i].lent) <= lentFor && len(r.configs) <= mostLent {
			i++
			continue
		}
		r.configs = slices.Delete(r.configs, i, i+1)
	}
}

// config returns a configuration's bytes, nil if they aren't here.
func (r *replica) config(digest register.Digest) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := r.find(digest); i >= 0 {
		return r.configs[i].data
	}
	return nil
}

// lend returns a configuration's bytes for another process, which may come for more of them.
func (r *replica) lend(digest register.Digest) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.find(digest)
	if i < 0 {
		return nil
	}
	r.configs[i].lent = time.Now()
	return r.configs[i].data
}

// find returns the place of a configuration, -1 if it isn't here. It is for who holds mu.
func (r *replica) find(digest register.Digest) int {
	return slices.IndexFunc(r.configs, func(c storedConfig) bool { return c.digest == digest })
}

// state returns what is on disk.
func (r *replica) state() register.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acceptor.State()
}

func (r *replica) prepare(_ context.Context, request *register.Prepare) (*register.Promise, error) {
	r.writing.Lock()
	defer r.writing.Unlock()
	r.mu.Lock()
	next, answer := r.acceptor.HandlePrepare(*request)
	r.mu.Unlock()
	if next != nil {
		if err := r.write(next, nil); err != nil {
			return nil, err
		}
	}
	return &answer, nil
}

func (r *replica) accept(_ context.Context, request *register.Accept) (*register.Accepted, error) {
	r.writing.Lock()
	defer r.writing.Unlock()
	digest := request.Value.Config
	held := r.config(digest) != nil
	if len(request.Config) > 0 && register.DigestOf(request.Config) != digest {
		return nil, Error.New("the bytes of a configuration don't match its digest")
	}
	r.mu.Lock()
	next, answer := r.acceptor.HandleAccept(*request, held || len(request.Config) > 0)
	r.mu.Unlock()
	if next == nil {
		return &answer, nil
	}
	var fresh []byte
	if !held {
		fresh = request.Config
	}
	if err := r.write(next, fresh); err != nil {
		return nil, err
	}
	return &answer, nil
}

func (r *replica) read(_ context.Context, request *register.Read) (*register.Promise, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := r.acceptor.HandleRead(*request)
	return &answer, nil
}

// learn takes a value that was chosen. config holds the configuration's bytes where they may be lacking.
func (r *replica) learn(value chosenValue, config []byte) (held bool, err error) {
	r.writing.Lock()
	defer r.writing.Unlock()
	have := r.config(value.Config) != nil
	r.mu.Lock()
	next, held := r.acceptor.HandleLearn(value.Ballot, value.Value, have || config != nil)
	r.mu.Unlock()
	if next == nil {
		return held, nil
	}
	if have {
		config = nil
	}
	return held, r.write(next, config)
}

// serveConfig returns a piece of a configuration's bytes.
func (r *replica) serveConfig(_ context.Context, request *message.ConfigRequest) (*message.ConfigReply, error) {
	data := r.lend(request.Digest)
	reply := &message.ConfigReply{Size: len(data)}
	if request.Offset < 0 || request.Offset > len(data) || request.Length < 0 {
		return nil, Error.New("a piece at %d of %d bytes", request.Offset, len(data))
	}
	reply.Data = data[request.Offset:]
	if request.Length > 0 {
		reply.Data = reply.Data[:min(request.Length, len(reply.Data))]
	}
	return reply, nil
}
