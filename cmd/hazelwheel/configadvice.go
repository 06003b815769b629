package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"

	"hazelwheel/internal/appconfig"
	"hazelwheel/internal/lint"
)

// maxServedBytes limits the size of files that are checked in the serving process. Danger: a check takes many times the size of the file,
// and a sidecar that exceeds its memory is killed.
const maxServedBytes = 1 << 20

// findingLogger logs the findings of the checks about the files that a sidecar runs with, each finding once. Findings never keep the
// sidecar from starting. It is not safe for concurrent use.
type findingLogger struct {
	log    *slog.Logger
	logged map[string]bool // by file, code and message
}

// logNew checks files and logs the findings that it has not logged before. An empty name stands for no file. Danger: a panic in a check
// must not stop the sidecar, so it is recovered.
func (l *findingLogger) logNew(names ...string) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("configuration could not be checked", "panic", p)
		}
	}()
	findings := lintFiles(names)
	for i, f := range findings {
		alike := countAlike(findings, i)
		key := f.File + f.Code + f.Message // without the place: a finding that has moved within the file is not new
		if alike == 0 || f.Severity == lint.Note || l.logged[key] {
			continue
		}
		l.logged[key] = true
		l.log.Warn("configuration finding", "code", f.Code, "at", fmt.Sprintf("%s:%s", f.File, f.Place), "message", f.Message, "alike", alike)
	}
}

// countAlike returns how many findings have the same file and code as the i-th, including that one, or 0 if an earlier finding has them
// too.
func countAlike(findings []lint.Finding, i int) (n int) {
	for j := range findings {
		if findings[j].Code != findings[i].Code || findings[j].File != findings[i].File {
			continue
		}
		if j < i {
			return 0
		}
		n++
	}
	return n
}

// lintFiles returns the findings of the checks about files. It skips files that are missing, too large or not regular. Danger: reading a
// pipe that the sidecar has already read may block forever.
func lintFiles(names []string) []lint.Finding {
	var files []*appconfig.File
	for _, name := range names {
		if info, err := os.Stat(name); err == nil && info.Mode().IsRegular() && info.Size() <= maxServedBytes {
			files = append(files, appconfig.Open(name, nil))
		}
	}
	return lint.Run(files, nil)
}

// printFindings writes the warnings and errors among the findings, one a line.
func printFindings(w io.Writer, names ...string) {
	for _, f := range lintFiles(names) {
		if f.Severity > lint.Note {
			fmt.Fprintln(w, f.String())
		}
	}
}
