package control

import (
	"context"
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
	snapshotThreshold = 8 << 20
	// retryWrite is the pause before a start that could not write its identity tries again.
	identityRetryInterval = 200 * time.Millisecond
	// mostConfigs bounds the configurations whose bytes are kept in memory and in snapshots, mostLent those in memory while others
	// fetch them, and lentFor is how long after a piece was asked for somebody may come for the next one.
	maxKeptConfigs     = 2
	maxCachedConfigs   = 5
	requestedRetention = 3 * time.Second
)

// replica hosts the acceptor and its disk.
type replica struct {
	log *logrus.Entry

	writeMu sync.Mutex // held while the disk works; orders all that changes the state
	store   *store.Store

	mu       sync.Mutex // guards what follows; never held while the disk works
	acceptor *register.Acceptor
	configs  []cachedConfig // the newest at the end
	hadState bool           // the disk held a state at the start

	valueStored chan struct{} // gets a signal when a configuration was accepted or learned
}

// openReplica reads the disk. A process without a state founds the register if it is one of the founders, else it gets an
// identity that never voted.
func openReplica(settings *nodeconfig.Settings, log *logrus.Entry) (*replica, error) {
	logStore, records, corruptions, err := store.Open(settings.DataDir)
	if err != nil {
		return nil, err
	}
	r := &replica{log: log, store: logStore, valueStored: make(chan struct{}, 1)}
	state, restored := r.restore(records)
	for _, corruption := range corruptions {
		log.WithField("tail", corruption.TornTail).Warn("store: " + corruption.String())
		if !corruption.TornTail {
			// Danger: what can't be read may have been a promise. Who forgot one must not vote as the one that made it.
			restored = false
		}
	}
	if !restored {
		// Danger: a founder whose disk held something may have promised something. Only an empty disk founds.
		state = newState(settings, !logStore.IsUsed())
	}
	r.hadState = restored
	r.acceptor = register.NewAcceptor(state)
	return r, nil
}

func (r *replica) restore(records []store.Record) (state register.State, restored bool) {
	for _, record := range records {
		switch record.Kind {
		case stateRecord:
			var next register.State
			if err := msgpack.Unmarshal(record.Data, &next); err != nil {
				r.log.WithError(err).Error("store: a state that can't be read")
				return state, false
			}
			state, restored = next, true
		case configRecord:
			r.cacheConfig(register.DigestOf(record.Data), record.Data)
		}
	}
	return state, restored
}

// begin writes a snapshot of what was read. Nothing may be answered before an identity is on the disk. Where it was found there,
// a disk that takes no more bytes does not keep the process from telling what it holds.
func (r *replica) persistIdentity(ctx context.Context) error {
	for {
		r.writeMu.Lock()
		err := r.writeSnapshot()
		r.writeMu.Unlock()
		if err == nil {
			return nil
		}
		r.log.WithError(err).Warn("store: the first write failed")
		if r.hadState {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(identityRetryInterval):
		}
	}
}

// snapshot is for who holds writing.
func (r *replica) writeSnapshot() error {
	r.mu.Lock()
	state, configs := r.acceptor.State(), slices.Clone(r.configs[max(len(r.configs)-maxKeptConfigs, 0):])
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
func (r *replica) repairDisk() {
	r.writeMu.Lock()
	defer r.writeMu.Unlock()
	corruption := r.store.Verify()
	if corruption == nil {
		return
	}
	err := r.writeSnapshot()
	r.log.WithError(err).WithField("place", corruption.String()).Error("store: a file was spoiled; written anew")
}

// write puts a state, and a configuration where there is one, on the disk.
func (r *replica) persist(state *register.State, config []byte) error {
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
	newVersion := state.Value.ConfigVersion > r.acceptor.State().Value.ConfigVersion
	r.acceptor.MarkPersisted(*state)
	if config != nil {
		r.cacheConfig(state.Value.ConfigDigest, config)
	}
	r.mu.Unlock()
	if newVersion {
		notify(r.valueStored)
	}
	if r.store.SegmentSize() > snapshotThreshold {
		if err := r.writeSnapshot(); err != nil {
			r.log.WithError(err).Warn("store: a snapshot failed")
		}
	}
	return nil
}

// state returns what is on disk.
func (r *replica) state() register.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acceptor.State()
}

func (r *replica) handlePrepare(_ context.Context, request *register.PrepareRequest) (*register.PrepareReply, error) {
	r.writeMu.Lock()
	defer r.writeMu.Unlock()
	r.mu.Lock()
	next, promise := r.acceptor.HandlePrepare(*request)
	r.mu.Unlock()
	if next != nil {
		if err := r.persist(next, nil); err != nil {
			return nil, err
		}
	}
	return &promise, nil
}

func (r *replica) handleAccept(_ context.Context, request *register.AcceptRequest) (*register.AcceptReply, error) {
	r.writeMu.Lock()
	defer r.writeMu.Unlock()
	digest := request.Value.ConfigDigest
	cached := r.configBytes(digest) != nil
	if len(request.ConfigData) > 0 && register.DigestOf(request.ConfigData) != digest {
		return nil, Error.New("the bytes of a configuration don't match its digest")
	}
	r.mu.Lock()
	next, accepted := r.acceptor.HandleAccept(*request, cached || len(request.ConfigData) > 0)
	r.mu.Unlock()
	if next == nil {
		return &accepted, nil
	}
	var newConfig []byte
	if !cached {
		newConfig = request.ConfigData
	}
	if err := r.persist(next, newConfig); err != nil {
		return nil, err
	}
	return &accepted, nil
}

func (r *replica) handleRead(_ context.Context, request *register.ReadRequest) (*register.PrepareReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	promise := r.acceptor.HandleRead(*request)
	return &promise, nil
}

// learn takes a value that was chosen. config holds the configuration's bytes where they may be lacking.
func (r *replica) learn(value chosenValue, config []byte) (upToDate bool, err error) {
	r.writeMu.Lock()
	defer r.writeMu.Unlock()
	cached := r.configBytes(value.ConfigDigest) != nil
	r.mu.Lock()
	next, upToDate := r.acceptor.HandleLearn(value.Ballot, value.Value, cached || config != nil)
	r.mu.Unlock()
	if next == nil {
		return upToDate, nil
	}
	if cached {
		config = nil
	}
	return upToDate, r.persist(next, config)
}

// serveConfig returns a piece of a configuration's bytes.
func (r *replica) handleConfigRequest(_ context.Context, request *message.ConfigRequest) (*message.ConfigReply, error) {
	data := r.lendConfig(request.Digest)
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
