package sim

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"hazelwheel/internal/checker"
)

// MutantsDir is the directory of the project's mutants: unified patches, each of which introduces one fault.
const MutantsDir = "internal/checker/testdata/mutants"

// Prefixes of the names of mutants that aren't played on ordinary days.
const (
	leaseMutantPrefix            = "owner-"      // by package leasesim
	maintenanceMutantPrefix      = "work-"       // by package maintenancesim
	fleetMaintenanceMutantPrefix = "work-fleet-" // on whole days with maintenance
)

// MutantOptions determine which mutants are run, and how.
type MutantOptions struct {
	Root      string   // of the source tree
	Dir       string   // of the patches
	NameParts []string // of the mutants to run; none: all
	LastSeed  uint64   // seeds from 1 to this are played, until one detects the mutant
	Jobs      int      // mutants at a time
}

// MutantResult is the outcome of one mutant.
type MutantResult struct {
	Name  string         `json:"name"`
	Seed  uint64         `json:"seed"`            // that detected it; 0: none
	Rules []checker.Rule `json:"rules,omitempty"` // that it violated
}

// String returns the result as one line.
func (m MutantResult) String() string {
	if m.Seed == 0 {
		return fmt.Sprintf("%-32s NOT CAUGHT", m.Name)
	}
	rules := make([]string, len(m.Rules))
	for i, r := range m.Rules {
		rules[i] = string(r)
	}
	return fmt.Sprintf("%-32s caught by seed %d: %s", m.Name, m.Seed, strings.Join(rules, ", "))
}

// RunMutants builds each mutant in a copy of the source tree, plays seeds with it, and reports the results in the order of the
// names. A patch that does not apply or build is an error: it introduces no fault any more.
func RunMutants(o MutantOptions, report func(MutantResult)) error {
	patches, err := filepath.Glob(filepath.Join(o.Dir, "*.patch"))
	if err != nil {
		return err
	}
	patches = slices.DeleteFunc(patches, func(p string) bool {
		return len(o.NameParts) > 0 && !slices.ContainsFunc(o.NameParts, func(part string) bool { return strings.Contains(filepath.Base(p), part) })
	})
	if len(patches) == 0 {
		return fmt.Errorf("%s holds no such patch", o.Dir)
	}
	slices.Sort(patches)
	type end struct {
		m   MutantResult
		err error
	}
	ends := make([]chan end, len(patches))
	slots := make(chan struct{}, max(o.Jobs, 1))
	var all sync.WaitGroup
	for i, p := range patches {
		ends[i] = make(chan end, 1)
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			m, err := runMutant(o, p)
			ends[i] <- end{m, err}
		})
	}
	var errs []error
	for _, e := range ends {
		if r := <-e; r.err != nil {
			errs = append(errs, r.err)
		} else {
			report(r.m)
		}
	}
	all.Wait()
	return errors.Join(errs...)
}

// runMutant builds and plays one mutant.
func runMutant(o MutantOptions, patch string) (MutantResult, error) {
	m := MutantResult{Name: strings.TrimSuffix(filepath.Base(patch), ".patch")}
	dir, err := os.MkdirTemp("", "mutant-")
	if err != nil {
		return m, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // temporary
	if err := copySources(o.Root, dir); err != nil {
		return m, err
	}
	text, err := os.ReadFile(patch)
	if err != nil {
		return m, err
	}
	apply := exec.Command("git", "apply", "--whitespace=nowarn", "-")
	apply.Dir, apply.Stdin = dir, bytes.NewReader(text)
	// Danger: inside another repository git would look for the files there.
	apply.Env = append(os.Environ(), "GIT_CEILING_DIRECTORIES="+filepath.Dir(dir))
	if out, err := apply.CombinedOutput(); err != nil {
		return m, fmt.Errorf("%s: %w: %s", m.Name, err, out)
	}
	build := exec.Command("go", "build", "-o", "mutant", "./cmd/hazellab")
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return m, fmt.Errorf("%s: %w: %s", m.Name, err, out)
	}
	world := []string{"sim"}
	switch {
	case strings.HasPrefix(m.Name, leaseMutantPrefix):
		world = []string{"owners"}
	case strings.HasPrefix(m.Name, fleetMaintenanceMutantPrefix):
		world = []string{"sim", "--fleet", string(FleetWithMaintenance)}
	case strings.HasPrefix(m.Name, maintenanceMutantPrefix):
		world = []string{"works"}
	}
	play := exec.Command(filepath.Join(dir, "mutant"), append(world, "--seeds", fmt.Sprintf("1-%d", max(o.LastSeed, 1)), "--first", "--json")...)
	out, err := play.Output()
	var exit *exec.ExitError
	if err != nil && (!errors.As(err, &exit) || exit.ExitCode() != 1) {
		return m, fmt.Errorf("%s: %w: %s", m.Name, err, out)
	}
	var t struct { // what the tallies of all worlds have
		Broken []struct {
			Rule  checker.Rule `json:"rule"`
			Seeds []uint64     `json:"seeds"`
		} `json:"broken"`
	}
	if err := json.Unmarshal(out, &t); err != nil {
		return m, fmt.Errorf("%s: %w: %s", m.Name, err, out)
	}
	for _, b := range t.Broken {
		m.Seed = b.Seeds[0]
		m.Rules = append(m.Rules, b.Rule)
	}
	return m, nil
}

// copySources copies the files that a build needs.
func copySources(from, to string) error {
	for _, part := range []string{"cmd", "internal", "policy"} {
		root := filepath.Join(from, part)
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if d != nil && d.IsDir() && d.Name() == "testdata" {
				return fs.SkipDir
			}
			if err != nil || !d.Type().IsRegular() || strings.HasSuffix(path, "_test.go") {
				return err
			}
			rel, err := filepath.Rel(from, path)
			if err != nil {
				return err
			}
			return copyFile(path, filepath.Join(to, rel))
		})
		if err != nil {
			return err
		}
	}
	for _, name := range []string{"go.mod", "go.sum"} {
		if err := copyFile(filepath.Join(from, name), filepath.Join(to, name)); err != nil {
			return err
		}
	}
	return nil
}

// copyFile copies a file and creates its directory.
func copyFile(from, to string) error {
	text, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
		return err
	}
	return os.WriteFile(to, text, 0o644)
}
