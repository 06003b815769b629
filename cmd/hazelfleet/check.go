package main

import (
	"fmt"
	"io"
	"os"

	"hazelwheel/internal/diagnostic"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/routeconfig"
)

// checker checks files, and tells what it finds: warnings and what is in order on out, faults on errs.
type checker struct {
	out, errs io.Writer
}

// settings checks a settings file. It prints each fault in one line that names the file, the line and the field, and returns the status
// with which to end.
func (c checker) settings(path string) int {
	data, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(c.errs, "hazelfleet: settings:", err)
		return statusUsage
	}
	report := nodeconfig.Validate(data)
	c.tell("settings: "+path, report.Faults, report.Unknown)
	if len(report.Faults) > 0 {
		return statusUsage
	}
	if err := report.Settings.CheckOperatorAddress(); err != nil {
		fmt.Fprintf(c.errs, "hazelfleet: settings: %s: %v\n", path, err)
		return statusUsage
	}
	for _, doubt := range report.Settings.Warnings() {
		fmt.Fprintf(c.out, "warning: settings: %s: %s\n", path, doubt)
	}
	fmt.Fprintln(c.out, "the settings are in order")
	return 0
}

// configuration checks a configuration, and a patch on top of it where a second file is named, as control would. It prints each fault in
// one line that names the file, and returns the status with which to end.
func (c checker) configuration(files []string) int {
	config, err := os.ReadFile(files[0])
	if err != nil {
		fmt.Fprintln(c.errs, "hazelfleet:", err)
		return statusUsage
	}
	report := routeconfig.Validate(config)
	c.tell(files[0], report.Faults, report.Unknown)
	if len(report.Faults) > 0 {
		return statusUsage
	}
	table := report.Table
	if len(files) > 1 {
		if table = c.patch(config, files[1]); table == nil {
			return statusUsage
		}
	}
	fmt.Fprintf(c.out, "version %d is in order: %d routes, %d services\n", table.Version, len(table.Routes), len(table.Services))
	return 0
}

// patch returns what a patch in a file makes of a configuration, nil where it is refused.
func (c checker) patch(config []byte, file string) *routeconfig.Table {
	made, err := applied(config, file)
	if err != nil {
		fmt.Fprintf(c.errs, "hazelfleet: %s: %v\n", file, err)
		return nil
	}
	report := routeconfig.Validate(made)
	for i := range report.Faults {
		report.Faults[i].Line = 0 // of what the patch makes, which stands in no file
	}
	c.tell(file, report.Faults, nil)
	return report.Table
}

func applied(config []byte, file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	patch, err := routeconfig.ParsePatch(text)
	if err != nil {
		return nil, err
	}
	return patch.Apply(config)
}

func (c checker) tell(file string, faults, unknown []diagnostic.Finding) {
	for _, found := range unknown {
		fmt.Fprintf(c.out, "warning: %s: %s\n", file, found)
	}
	for _, found := range faults {
		fmt.Fprintf(c.errs, "hazelfleet: %s: %s\n", file, found)
	}
}

// runCheck checks the settings file, or the files that are named.
func runCheck(files []string) int {
	check := checker{os.Stdout, os.Stderr}
	if len(files) == 0 {
		return check.settings(nodeconfig.FilePath())
	}
	return check.configuration(files)
}
