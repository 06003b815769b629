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
	stateRecord  store.Kind = 1 // a register.State as MessagePack; the last one counts
	configRecord store.Kind = 2 // the bytes of a configuration
)

const (
	// snapshotThreshold is the size of a segment, in bytes, above which a snapshot replaces it.
	snapshotThreshold = 8 << 20
	// identityRetryInterval is the pause before persistIdentity retries a failed write.
	identityRetryInterval = 200 * time.Millisecond
)

// replica is the acceptor of the register with its disk. It is safe for concurrent use.
//
// A request that changes the state holds writeMu from the decision until the new state is on disk. Only then is the state in memory
// replaced (Acceptor.MarkPersisted), so that other goroutines and replies only ever show a state that is on disk. Reads lock only mu and
// never wait for the disk. If both are held, writeMu is locked first.
type replica struct {
	log         *logrus.Entry
	hadState    bool          // the disk held a readable state when it was opened
	valueStored chan struct{} // receives a signal when a newer configuration was accepted or learned

	writeMu sync.Mutex // guards store, and orders changes of the state
	store   *store.Store

	mu       sync.Mutex // guards the fields below; never held during a write
	acceptor *register.Acceptor
	configs  []cachedConfig // oldest first
}

// openReplica reads the disk. Without a readable state the replica gets a new one (see newState), which is not on disk before
// persistIdentity has returned.
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
			// Danger: the unreadable bytes may have been a promise. A voter that forgets a promise must not vote under the same identity.
			restored = false
		}
	}
	if !restored {
		state = newState(settings, !logStore.IsUsed())
	}
	r.hadState = restored
	r.acceptor = register.NewAcceptor(state)
	return r, nil
}

// restore reads the state from the store's records, and fills the cache of configurations. It returns false if there is no readable
// state.
func (r *replica) restore(records []store.Record) (state register.State, restored bool) {
	for _, record := range records {
		switch record.Kind {
		case stateRecord:
			var next register.State
			if err := msgpack.Unmarshal(record.Data, &next); err != nil {
				r.log.WithError(err).Error("store: decoding the state failed")
				return state, false
			}
			state, restored = next, true
		case configRecord:
			r.cacheConfig(register.DigestOf(record.Data), record.Data)
		}
	}
	return state, restored
}

// persistIdentity writes a snapshot of the state, and retries until it is on disk or the context ends. No request may be answered before it
// returns. If the state was read from the disk, it returns even after a failed write: a process whose disk is full still answers reads.
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

// writeSnapshot replaces the store's content by the state and the newest configurations. The caller holds writeMu.
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

// repairDisk verifies the files on disk. If one is damaged, it replaces all of them by a snapshot of the state in memory.
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

// persist appends a state, and the bytes of its configuration if they are new, to the store. Then it replaces the state in memory. After
// an error the state in memory is unchanged, and the caller must not answer as if it had changed. The caller holds writeMu.
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
	isNewer := state.Value.ConfigVersion > r.acceptor.State().Value.ConfigVersion
	r.acceptor.MarkPersisted(*state)
	if config != nil {
		r.cacheConfig(state.Value.ConfigDigest, config)
	}
	r.mu.Unlock()
	if isNewer {
		notify(r.valueStored)
	}
	if r.store.SegmentSize() > snapshotThreshold {
		if err := r.writeSnapshot(); err != nil {
			r.log.WithError(err).Warn("store: a snapshot failed")
		}
	}
	return nil
}

// state returns the state that is on disk.
func (r *replica) state() register.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acceptor.State()
}

// handlePrepare answers a prepare request. An error means that the disk has failed; nothing was promised then.
func (r *replica) handlePrepare(_ context.Context, request *register.PrepareRequest) (*register.PrepareReply, error) {
	r.writeMu.Lock()
	defer r.writeMu.Unlock()
	r.mu.Lock()
	next, reply := r.acceptor.HandlePrepare(*request)
	r.mu.Unlock()
	if next != nil {
		if err := r.persist(next, nil); err != nil {
			return nil, err
		}
	}
	return &reply, nil
}

// handleAccept answers an accept request. A value whose configuration is neither attached nor in memory is not accepted; the reply then asks
// for the bytes. An error means that the bytes don't match the digest or that the disk has failed; nothing was accepted then.
func (r *replica) handleAccept(_ context.Context, request *register.AcceptRequest) (*register.AcceptReply, error) {
	r.writeMu.Lock()
	defer r.writeMu.Unlock()
	digest := request.Value.ConfigDigest
	isCached := r.configBytes(digest) != nil
	if len(request.ConfigData) > 0 && register.DigestOf(request.ConfigData) != digest {
		return nil, Error.New("the bytes of a configuration don't match its digest")
	}
	r.mu.Lock()
	next, reply := r.acceptor.HandleAccept(*request, isCached || len(request.ConfigData) > 0)
	r.mu.Unlock()
	if next == nil {
		return &reply, nil
	}
	var newConfig []byte
	if !isCached {
		newConfig = request.ConfigData
	}
	if err := r.persist(next, newConfig); err != nil {
		return nil, err
	}
	return &reply, nil
}

// handleRead answers a read request, without a write.
func (r *replica) handleRead(_ context.Context, request *register.ReadRequest) (*register.PrepareReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := r.acceptor.HandleRead(*request)
	return &reply, nil
}

// learn stores a chosen value if it is newer than the stored one and the bytes of its configuration are available: in config, or in memory
// if config is nil. It returns whether the stored value is this one or a newer one.
func (r *replica) learn(value chosenValue, config []byte) (upToDate bool, err error) {
	r.writeMu.Lock()
	defer r.writeMu.Unlock()
	isCached := r.configBytes(value.ConfigDigest) != nil
	r.mu.Lock()
	next, upToDate := r.acceptor.HandleLearn(value.Ballot, value.Value, isCached || config != nil)
	r.mu.Unlock()
	if next == nil {
		return upToDate, nil
	}
	if isCached {
		config = nil
	}
	return upToDate, r.persist(next, config)
}

// handleConfigRequest answers the request for a chunk of a configuration. The size in the reply is 0 if the configuration is not in
// memory.
func (r *replica) handleConfigRequest(_ context.Context, request *message.ConfigRequest) (*message.ConfigReply, error) {
	data := r.serveConfig(request.Digest)
	reply := &message.ConfigReply{Size: len(data)}
	if request.Offset < 0 || request.Offset > len(data) || request.Length < 0 {
		return nil, Error.New("chunk at offset %d of %d bytes", request.Offset, len(data))
	}
	reply.Data = data[request.Offset:]
	if request.Length > 0 {
		reply.Data = reply.Data[:min(request.Length, len(reply.Data))]
	}
	return reply, nil
}
