package control

import (
	"context"
	"slices"
	"time"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
)

const (
	// pieceSize is how many bytes of a configuration are asked for at once.
	pieceSize = 128 << 10
	// pieceWithin bounds the wait for one piece.
	pieceWithin = time.Second
)

// copies fetches the bytes of configurations from other control processes, piece by piece. What has come of the newest one stays
// when a call ends, so that the next call goes on from there.
type copies struct {
	fetching chan struct{} // has room for the one call that fetches, so that pieces come once

	digest register.Digest // of the configuration that is being fetched
	data   []byte          // what has come of it
}

func newCopies() *copies { return &copies{fetching: make(chan struct{}, 1)} }

// askPiece asks a control process for a piece.
type askPiece func(ctx context.Context, from register.Voter, request *message.ConfigRequest) (*message.ConfigReply, error)

// fetch returns the bytes with this digest. It turns to the sources in their order, and to the next one where one fails.
func (c *copies) fetch(ctx context.Context, digest register.Digest, sources []register.Voter, ask askPiece) ([]byte, error) {
	select {
	case c.fetching <- struct{}{}:
		defer func() { <-c.fetching }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if c.digest != digest {
		c.digest, c.data = digest, nil
	}
	for _, source := range sources {
		for ctx.Err() == nil {
			whole, err := c.piece(ctx, source, ask)
			if err != nil {
				break
			}
			if whole {
				return c.check()
			}
		}
	}
	return nil, Error.New("%d bytes of a configuration have come, the rest is missing", len(c.data))
}

// piece asks for the next piece. It returns whether all have come.
func (c *copies) piece(ctx context.Context, source register.Voter, ask askPiece) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, pieceWithin)
	defer cancel()
	reply, err := ask(ctx, source, &message.ConfigRequest{Digest: c.digest, Offset: len(c.data), Length: pieceSize})
	if err == nil && reply.Size == 0 && len(c.data) == 0 {
		reply.Size = len(reply.Data) // a process of the version before sends all at once and tells no size
	}
	switch {
	case err != nil:
		return false, err
	case reply.Size == 0:
		return false, Error.New("%s does not have it", source.Address)
	case reply.Size > maxConfig || len(reply.Data) == 0 || len(c.data)+len(reply.Data) > reply.Size:
		c.data = nil
		return false, Error.New("%s: a piece of %d bytes of %d", source.Address, len(reply.Data), reply.Size)
	}
	c.data = append(c.data, reply.Data...)
	return len(c.data) == reply.Size, nil
}

// check returns what has come if it is what was asked for.
func (c *copies) check() ([]byte, error) {
	data := c.data
	c.data = nil
	if register.DigestOf(data) != c.digest {
		return nil, Error.New("the bytes of a configuration don't match its digest")
	}
	return data, nil
}

// Config returns the bytes of a value's configuration, from other voters where they aren't here.
func (r *registrar) Config(ctx context.Context, value register.Value) ([]byte, error) {
	if data := r.local.config(value.Config); data != nil {
		return data, nil
	}
	sources := slices.DeleteFunc(value.Everyone(), func(v register.Voter) bool { return v.Address == r.self.Address })
	return r.copies.fetch(ctx, value.Config, sources, func(ctx context.Context, from register.Voter, request *message.ConfigRequest) (*message.ConfigReply, error) {
		reply := &message.ConfigReply{}
		return reply, r.client.Call(ctx, from.Address, configPath, request, reply)
	})
}
