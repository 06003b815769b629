package coordination

import (
	"bytes"

	"hazelwheel/internal/peers"
)

// requestList asks for the whole list, over the link by which the word of it came.
func (f *listRelay) requestList(l *peers.Link, j *listRole, token uint64, w *listUpdate, now, newsAt float64) {
	if f.requestedAt > 0 && now < f.requestedAt+listRequestRetrySeconds {
		return
	}
	f.request, f.requestedAt, f.requestedFreshAt, f.requestLink, f.chunks = listRequest{w.Discovery, w.Index}, now, newsAt, l.Number, nil
	f.stats.SnapshotsRequested++
	f.roles.sendReply(l, j.name, token, kindListRequest, mustMarshal(f.request))
}

// serveWaiters sends the whole list to those who wait for a version that is held by now.
func (f *listRelay) serveWaiters() {
	if len(f.waiters) == 0 {
		return
	}
	now := f.roles.node.net.Now()
	v, held := f.lists.ListVersion()
	var body []byte
	wait := f.waiters[:0:0]
	for _, a := range f.waiters {
		l := f.roles.node.links[a.link]
		switch {
		case l == nil || now > a.until:
		case !held || v.Index < a.index:
			wait = append(wait, a)
		default:
			if body == nil {
				body = compress(f.lists.WholeList())
			}
			f.stats.SnapshotsServed++
			parts := (len(body) + chunkBytes - 1) / chunkBytes
			for i := range parts {
				f.roles.sendReply(l, a.source.name, a.token, kindListChunk, mustMarshal(listChunk{v.Discovery, v.Index, v.Sum, i, parts, body[i*chunkBytes : min((i+1)*chunkBytes, len(body))]}))
			}
		}
	}
	f.waiters = wait
}

// handleChunk takes a part of the list that was asked for.
func (f *listRelay) handleChunk(from *peers.Link, w *listChunk) error {
	now := f.roles.node.net.Now()
	if f.requestedAt == 0 || from.Number != f.requestLink || now < f.distrustUntil || w.Discovery != f.lists.Discovery() || w.Index < f.request.Index {
		return nil // it was asked for once
	}
	if w.Chunk != len(f.chunks) || w.Chunks < 1 || w.Chunks > maxListBytes/chunkBytes {
		return errListMismatch
	}
	if f.chunks = append(f.chunks, w.Body); len(f.chunks) < w.Chunks {
		return nil
	}
	raw, err := decompress(bytes.Join(f.chunks, nil))
	f.requestedAt, f.chunks = 0, nil
	if err != nil {
		return err
	}
	if v, held := f.lists.ListVersion(); held && v.Index > w.Index {
		return nil
	}
	if err := f.applyList(raw, w.Index); err != nil {
		return err
	}
	if v, _ := f.lists.ListVersion(); v.Sum != w.Checksum {
		f.handleMismatch(now, w.Index)
		return nil
	}
	for _, j := range f.sources {
		if j.sourceToken != 0 && j.freshAt < f.requestedFreshAt {
			j.freshAt = f.requestedFreshAt
			break
		}
	}
	f.confirmRelayed(now)
	return nil
}
