package coordination

import (
	"bytes"

	"hazelwheel/internal/peers"
)

// ask asks for the whole list, over the link by which the word of it came.
func (f *feeder) ask(l *peers.Link, j *listJob, token uint64, w *listWord, now, newsAt float64) {
	if f.needAt > 0 && now < f.needAt+needAgainS {
		return
	}
	f.need, f.needAt, f.newsAt, f.link, f.parts = listNeed{w.Discovery, w.Index}, now, newsAt, l.Number, nil
	f.counts.SnapshotsRequested++
	f.o.reply(l, j.name, token, kindNeed, packed(f.need))
}

// answer sends the whole list to those who wait for a version that is held by now.
func (f *feeder) answer() {
	if len(f.asking) == 0 {
		return
	}
	now := f.o.f.net.Now()
	v, held := f.to.ListVersion()
	var body []byte
	wait := f.asking[:0:0]
	for _, a := range f.asking {
		l := f.o.f.links[a.link]
		switch {
		case l == nil || now > a.until:
		case !held || v.Index < a.index:
			wait = append(wait, a)
		default:
			if body == nil {
				body = deflate(f.to.WholeList())
			}
			f.counts.SnapshotsServed++
			parts := (len(body) + partSize - 1) / partSize
			for i := range parts {
				f.o.reply(l, a.job.name, a.token, kindWhole, packed(listWhole{v.Discovery, v.Index, v.Sum, i, parts, body[i*partSize : min((i+1)*partSize, len(body))]}))
			}
		}
	}
	f.asking = wait
}

// whole takes a part of the list that was asked for.
func (f *feeder) whole(from *peers.Link, w *listWhole) error {
	now := f.o.f.net.Now()
	if f.needAt == 0 || from.Number != f.link || now < f.doubt || w.Discovery != f.to.Discovery() || w.Index < f.need.Index {
		return nil // it was asked for once
	}
	if w.Part != len(f.parts) || w.Parts < 1 || w.Parts > mostList/partSize {
		return errList
	}
	if f.parts = append(f.parts, w.Body); len(f.parts) < w.Parts {
		return nil
	}
	raw, err := inflate(bytes.Join(f.parts, nil))
	f.needAt, f.parts = 0, nil
	if err != nil {
		return err
	}
	if v, held := f.to.ListVersion(); held && v.Index > w.Index {
		return nil
	}
	if err := f.take(raw, w.Index); err != nil {
		return err
	}
	if v, _ := f.to.ListVersion(); v.Sum != w.Sum {
		f.disagree(now, w.Index)
		return nil
	}
	for _, j := range f.jobs {
		if j.of != 0 && j.at < f.newsAt {
			j.at = f.newsAt
			break
		}
	}
	f.fed(now)
	return nil
}
