package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"hazelwheel/internal/lab/load"
	"hazelwheel/internal/lab/stub"
)

// About is what a folder says of the experiment whose figures it holds. It is written when the experiment begins, as
// partial, and again when it ends: one that was cut off in any way says so.
type About struct {
	Name     string    `json:"name"`
	About    string    `json:"about"`
	Began    time.Time `json:"began"`
	Ended    time.Time `json:"ended"`
	Planned  int       `json:"runs_planned"`
	Done     int       `json:"runs_done"` // whole
	Partial  bool      `json:"partial"`
	Why      string    `json:"why,omitempty"` // it is partial
	Machine  Machine   `json:"machine"`
	Versions []Version `json:"versions"`
	Spec     Spec      `json:"settings"`
}

// Version tells a program apart from another of its name.
type Version struct {
	Balancer string `json:"balancer"`
	Path     string `json:"path"`
	SHA256   string `json:"sha256"`
	Build    string `json:"build"` // Go's version, and what the file says it was built from
}

// Record is what is known of a run.
type Record struct {
	Run
	Began   time.Time     `json:"began"`
	Partial bool          `json:"partial"`
	Why     string        `json:"why,omitempty"` // it is partial
	CPUS    float64       `json:"cpu_s"`         // of all balancers, while the load lasted
	PeakMB  float64       `json:"peak_mb"`       // of the one that held most, in 2^20 bytes
	Boxes   []stub.Counts `json:"boxes"`
	Events  []Happened    `json:"events"`
	Result  *load.Result  `json:"-"` // nil: there is none

	Profiles []string `json:"-"` // files
}

// Happened is a trouble as it took place, in seconds from the load's start.
type Happened struct {
	Kind  string  `json:"kind"`
	AtS   float64 `json:"at_s"`
	EndS  float64 `json:"end_s"`
	Boxes []int   `json:"boxes,omitempty"`
}

// Data is what a folder holds.
type Data struct {
	About
	Folder  string
	Records []Record // in the order of the runs
}

const (
	aboutFile = "about.json"
	specFile  = "experiment.toml"
	runsDir   = "runs"
	runFile   = "run.json"
	loadFile  = "load.json"

	profilePrefix = "cpu-"
)

// ErrNoFolder says that a folder holds no experiment.
var ErrNoFolder = errors.New("no experiment's folder")

// Open reads a folder. A run without a record is left out: it was cut off while that was written.
func Open(folder string) (*Data, error) {
	d := &Data{Folder: folder}
	if err := readJSON(filepath.Join(folder, aboutFile), &d.About); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", folder, ErrNoFolder, err)
	}
	entries, err := os.ReadDir(filepath.Join(folder, runsDir))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	for _, e := range entries {
		dir := filepath.Join(folder, runsDir, e.Name())
		var r Record
		if readJSON(filepath.Join(dir, runFile), &r) != nil {
			d.Partial = true
			continue
		}
		r.Profiles, _ = filepath.Glob(filepath.Join(dir, profilePrefix+"*.pprof")) // fails only for a bad pattern
		var result load.Result
		if readJSON(filepath.Join(dir, loadFile), &result) == nil {
			r.Result = &result
		} else if !r.Partial {
			r.Partial, r.Why = true, "its figures can't be read"
		}
		d.Records = append(d.Records, r)
	}
	slices.SortFunc(d.Records, func(a, b Record) int { return a.Number - b.Number })
	return d, nil
}

func readJSON(path string, v any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, v)
}

func writeJSON(path string, v any) error {
	raw, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

// newFolder makes a folder for an experiment. Danger: one that holds figures already would mix them with others.
func newFolder(folder string) error {
	entries, err := os.ReadDir(folder)
	if err == nil && len(entries) > 0 {
		return fmt.Errorf("%s: there is something in it already", folder)
	}
	return os.MkdirAll(filepath.Join(folder, runsDir), 0o755)
}
