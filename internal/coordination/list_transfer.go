package coordination

import (
	"bytes"

	"hazelwheel/internal/peers"
)

const (
	// listRequestRetrySeconds is the minimum time between two requests for a list. The receiver of a request for a version that it does
	// not have yet remembers the request for the same time.
	listRequestRetrySeconds = 0.5
	// maxWaiters limits the requests that are remembered.
	maxWaiters = 64
)

// listWaiter is a request of another sidecar for a list version that is not here yet.
type listWaiter struct {
	link   int
	token  uint64 // of the request
	source *listRole
	index  uint64  // the minimum version
	until  float64 // when the request is dropped
}

// requestList requests the list over the link by which an update for it came.
func (l *listRelay) requestList(link *peers.Link, r *listRole, token uint64, u *listUpdate, now, freshAt float64) {
	if l.requestedAt > 0 && now < l.requestedAt+listRequestRetrySeconds {
		return
	}
	l.request, l.requestedAt, l.requestedFreshAt, l.requestLink, l.chunks = listRequest{u.Discovery, u.Index}, now, freshAt, link.Number, nil
	l.stats.SnapshotsRequested++
	l.roles.sendReply(link, r.name, token, kindListRequest, mustMarshal(l.request))
}

// serveWaiters sends the list to waiters whose version is here by now, and removes those that have waited too long.
func (l *listRelay) serveWaiters() {
	if len(l.waiters) == 0 {
		return
	}
	now := l.now()
	v, held := l.lists.ListVersion()
	var body []byte
	waiting := l.waiters[:0:0]
	for _, w := range l.waiters {
		link := l.roles.node.links[w.link]
		switch {
		case link == nil || now > w.until:
		case !held || v.Index < w.index:
			waiting = append(waiting, w)
		default:
			if body == nil {
				body = compress(l.lists.CompleteList())
			}
			l.stats.SnapshotsServed++
			chunks := (len(body) + chunkBytes - 1) / chunkBytes
			for i := range chunks {
				chunk := listChunk{v.DiscoveryAddress, v.Index, v.Checksum, i, chunks, body[i*chunkBytes : min((i+1)*chunkBytes, len(body))]}
				l.roles.sendReply(link, w.source.name, w.token, kindListChunk, mustMarshal(chunk))
			}
		}
	}
	l.waiters = waiting
}

// handleChunk handles a chunk of a requested list, and applies the list once it is complete. Chunks that were not requested are
// ignored. An error means that a chunk or the list is malformed.
func (l *listRelay) handleChunk(from *peers.Link, c *listChunk) error {
	now := l.now()
	if l.requestedAt == 0 || from.Number != l.requestLink || now < l.distrustUntil || c.Discovery != l.lists.DiscoveryAddress() || c.Index < l.request.Index {
		return nil
	}
	if c.Chunk != len(l.chunks) || c.Chunks < 1 || c.Chunks > maxListBytes/chunkBytes {
		return errListMismatch
	}
	if l.chunks = append(l.chunks, c.Body); len(l.chunks) < c.Chunks {
		return nil
	}
	raw, err := decompress(bytes.Join(l.chunks, nil))
	l.requestedAt, l.chunks = 0, nil
	if err != nil {
		return err
	}
	if v, held := l.lists.ListVersion(); held && v.Index > c.Index {
		return nil
	}
	if err := l.applyList(raw, c.Index); err != nil {
		return err
	}
	if v, _ := l.lists.ListVersion(); v.Checksum != c.Checksum {
		l.handleMismatch(now, c.Index)
		return nil
	}
	for _, r := range l.sources {
		if r.sourceToken != 0 && r.freshAt < l.requestedFreshAt {
			r.freshAt = l.requestedFreshAt
			break
		}
	}
	l.confirmRelayed()
	return nil
}
