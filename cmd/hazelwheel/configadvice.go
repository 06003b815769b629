package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"

	"hazelwheel/internal/appconfig"
	"hazelwheel/internal/lint"
)

// mostServedBytes bounds the files that are checked beside serving. Danger: a text takes many times its size while it is checked,
// and a sidecar is killed beyond its memory.
const mostServedBytes = 1 << 20

// adviser logs what the checks say of the files that a sidecar serves by, each thing once. It is advice: what serve refuses is
// not decided here.
type adviser struct {
	log  *slog.Logger
	said map[string]bool
}

// look checks files and logs what is new. An empty name stands for none. Danger: a fault of a check must not keep a sidecar
// from serving.
func (a *adviser) look(names ...string) {
	defer func() {
		if p := recover(); p != nil {
			a.log.Error("the configuration could not be checked", "panic", p)
		}
	}()
	found := findings(names)
	for i, f := range found {
		alike := 0
		for j, other := range found {
			if other.Code == f.Code && other.File == f.File {
				if j < i {
					alike = -1
					break
				}
				alike++
			}
		}
		text := f.File + f.Code + f.Message // what has moved in the file is nothing new
		if alike < 0 || f.Severity == lint.Note || a.said[text] {
			continue
		}
		a.said[text] = true
		a.log.Warn("configuration", "code", f.Code, "at", fmt.Sprintf("%s:%s", f.File, f.Place), "says", f.Message, "alike", alike)
	}
}

// findings returns what the checks say of files. Danger: what is no plain file, as a pipe, was read by the sidecar itself and may
// never say anything again.
func findings(names []string) []lint.Finding {
	var files []*appconfig.File
	for _, name := range names {
		if info, err := os.Stat(name); err == nil && info.Mode().IsRegular() && info.Size() <= mostServedBytes {
			files = append(files, appconfig.Open(name, nil))
		}
	}
	return lint.Run(files, nil)
}

// sayFindings prints warnings and errors among the findings.
func sayFindings(w io.Writer, names ...string) {
	for _, f := range findings(names) {
		if f.Severity > lint.Note {
			fmt.Fprintln(w, f.String())
		}
	}
}
