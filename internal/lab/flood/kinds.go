package flood

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
)

// kind is what a flood does with its connections.
type kind struct {
	text   func(*flooder) []byte // what is said on each
	slow   bool                  // the text is said byte by byte, within Plan.Within
	unread bool                  // nothing is read, with the least room for it
	brief  bool                  // the connection is closed at once
}

// Again is the kind of whole requests that are sent again at once, whatever was answered.
const Again = "again"

var kinds = map[string]kind{
	"silent":    {text: func(*flooder) []byte { return nil }},
	"half-head": {text: halfHead},
	"slow-head": {text: wholeHead, slow: true},
	"half-body": {text: halfBody},
	"unread":    {text: ahead, unread: true},
	"brief":     {text: func(*flooder) []byte { return nil }, brief: true},
}

// Kinds returns the names of all kinds.
func Kinds() []string { return slices.Sorted(maps.Keys(withAgain())) }

func withAgain() map[string]kind {
	all := maps.Clone(kinds)
	all[Again] = kind{}
	return all
}

func halfHead(f *flooder) []byte {
	return []byte(f.line() + "Host: service.internal\r\n")
}

func (f *flooder) line() string {
	method := "POST"
	if f.plan.Class.Safe {
		method = "GET"
	}
	return method + " /" + f.plan.Class.Name + " HTTP/1.1\r\n"
}

// head returns a whole head with a body's length, and an id that no other has.
func (f *flooder) head(body int) string {
	f.ids++
	return fmt.Sprintf("%sHost: service.internal\r\nRequest-Id: f%03x%012x\r\nIdempotency-Key: %016x\r\nContent-Length: %d\r\n\r\n",
		f.line(), f.plan.Seed&0xfff, f.ids<<8|uint64(f.address&0xff), f.ids, body)
}

// wholeHead is said byte by byte, so its length may not change from one call to the next.
func wholeHead(f *flooder) []byte { return []byte(f.head(0)) }

// halfBody lacks one byte of its body.
func halfBody(f *flooder) []byte {
	return append([]byte(f.head(1000)), bytes.Repeat([]byte("x"), 999)...)
}

// ahead is many whole requests.
func ahead(f *flooder) []byte {
	var all []byte
	for range f.plan.Ahead {
		all = append(all, f.head(0)...)
	}
	f.figures.Whole += int64(f.plan.Ahead)
	return all
}
