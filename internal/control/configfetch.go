package control

import (
	"context"
	"time"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
)

const (
	// pieceSize is how many bytes of a configuration are asked for at once.
	chunkSize = 128 << 10
	// pieceWithin bounds the wait for one piece.
	chunkTimeout = time.Second
)

// copies fetches the bytes of configurations from other control processes, piece by piece. What has come of the newest one stays
// when a call ends, so that the next call goes on from there.
type configFetcher struct {
	busy chan struct{} // has room for the one call that fetches, so that pieces come once

	digest register.Digest // of the configuration that is being fetched
	data   []byte          // what has come of it
}

func newConfigFetcher() *configFetcher { return &configFetcher{busy: make(chan struct{}, 1)} }

// askPiece asks a control process for a piece.
type chunkRequester func(ctx context.Context, from register.Voter, request *message.ConfigRequest) (*message.ConfigReply, error)

// fetch returns the bytes with this digest. It turns to the sources in their order, and to the next one where one fails.
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
	for _, source := range sources {
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

// piece asks for the next piece. It returns whether all have come.
func (f *configFetcher) fetchChunk(ctx context.Context, source register.Voter, request chunkRequester) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	reply, err := request(ctx, source, &message.ConfigRequest{Digest: f.digest, Offset: len(f.data), Length: chunkSize})
	if err == nil && reply.Size == 0 && len(f.data) == 0 {
		reply.Size = len(reply.Data) // a process of the version before sends all at once and tells no size
	}
	switch {
	case err != nil:
		return false, err
	case reply.Size == 0:
		return false, Error.New("%s does not have it", source.Address)
	case reply.Size > maxConfigBytes || len(reply.Data) == 0 || len(f.data)+len(reply.Data) > reply.Size:
		f.data = nil
		return false, Error.New("%s: a piece of %d bytes of %d", source.Address, len(reply.Data), reply.Size)
	}
	f.data = append(f.data, reply.Data...)
	return len(f.data) == reply.Size, nil
}

// check returns what has come if it is what was asked for.
func (f *configFetcher) takeVerified() ([]byte, error) {
	data := f.data
	f.data = nil
	if register.DigestOf(data) != f.digest {
		return nil, Error.New("the bytes of a configuration don't match its digest")
	}
	return data, nil
}
