package control

import (
	"context"
	"time"

	"hazelwheel/internal/decide/reconfiguration"
	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
)

const (
	// chunkSize is the number of bytes of a configuration that one request asks for.
	chunkSize = 128 << 10
	// chunkTimeout bounds one request.
	chunkTimeout = time.Second
)

// configFetcher fetches the bytes of configurations from other control processes in chunks. It keeps the bytes of a fetch that ended early,
// and the next fetch of the same configuration resumes there: on a slow link no single call may last long enough. It is safe for
// concurrent use; one call fetches at a time, so that no chunk is transferred twice.
type configFetcher struct {
	busy chan struct{} // a semaphore of one that guards the fields below

	digest register.Digest // of the configuration that is being fetched
	data   []byte          // its first bytes, as far as they have arrived
	order  reconfiguration.FetchOrder
}

// newConfigFetcher returns a fetcher that has fetched nothing.
func newConfigFetcher() *configFetcher { return &configFetcher{busy: make(chan struct{}, 1)} }

// chunkRequester requests a chunk from a control process.
type chunkRequester func(ctx context.Context, from register.Voter, request *message.ConfigRequest) (*message.ConfigReply, error)

// fetch returns the bytes with this digest. It tries one source after the other; sources whose previous call failed come last.
// After an error the chunks that have arrived are kept for the next call.
func (f *configFetcher) fetch(ctx context.Context, digest register.Digest, sources []register.Voter, request chunkRequester) ([]byte, error) {
	select {
	case f.busy <- struct{}{}:
		defer func() { <-f.busy }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if f.digest != digest {
		f.digest, f.data = digest, nil
	}
	for _, source := range f.order.Sort(sources) {
		for ctx.Err() == nil {
			complete, err := f.fetchChunk(ctx, source, request)
			if err != nil {
				break
			}
			if complete {
				return f.takeVerified()
			}
		}
	}
	return nil, Error.New("%d bytes of a configuration have come, the rest is missing", len(f.data))
}

// fetchChunk requests the next chunk from a source and returns whether it was the last one.
func (f *configFetcher) fetchChunk(ctx context.Context, source register.Voter, request chunkRequester) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	reply, err := request(ctx, source, &message.ConfigRequest{Digest: f.digest, Offset: len(f.data), Length: chunkSize})
	f.order.Record(source, err == nil)
	if err == nil && reply.Size == 0 && len(f.data) == 0 {
		reply.Size = len(reply.Data) // an older version sends all bytes at once and no size
	}
	switch {
	case err != nil:
		return false, err
	case reply.Size == 0:
		return false, Error.New("%s does not have it", source.Address)
	case reply.Size > maxConfigBytes || len(reply.Data) == 0 || len(f.data)+len(reply.Data) > reply.Size:
		f.data = nil
		return false, Error.New("%s: chunk of %d bytes of a configuration of %d", source.Address, len(reply.Data), reply.Size)
	}
	f.data = append(f.data, reply.Data...)
	return len(f.data) == reply.Size, nil
}

// takeVerified returns the complete bytes if they match the digest. The fetcher drops them in either case.
func (f *configFetcher) takeVerified() ([]byte, error) {
	data := f.data
	f.data = nil
	if register.DigestOf(data) != f.digest {
		return nil, Error.New("the bytes of a configuration don't match its digest")
	}
	return data, nil
}
