package main

import (
	"fmt"
	"io"
	"os"

	"hazelwheel/internal/diagnostic"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/routeconfig"
)

// runCheck checks the settings file if no files are given, else a configuration and optionally a patch. It returns the exit status.
func runCheck(files []string) int {
	c := checker{out: os.Stdout, errs: os.Stderr}
	if len(files) == 0 {
		return c.checkSettings(nodeconfig.FilePath())
	}
	return c.checkConfiguration(files)
}

// checker checks files. It writes warnings and positive results to out, and faults to errs.
type checker struct {
	out, errs io.Writer
}

// checkSettings checks a settings file. It prints each fault on one line that names the file, the line and the field, and returns the exit
// status.
func (c checker) checkSettings(path string) int {
	data, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(c.errs, "hazelfleet: settings:", err)
		return exitUsage
	}
	report := nodeconfig.Validate(data)
	c.print("settings: "+path, report.Faults, report.Unknown)
	if len(report.Faults) > 0 {
		return exitUsage
	}
	if err := report.Settings.CheckOperatorAddress(); err != nil {
		fmt.Fprintf(c.errs, "hazelfleet: settings: %s: %v\n", path, err)
		return exitUsage
	}
	for _, warning := range report.Settings.Warnings() {
		fmt.Fprintf(c.out, "warning: settings: %s: %s\n", path, warning)
	}
	fmt.Fprintln(c.out, "the settings are in order")
	return exitOK
}

// checkConfiguration checks a configuration as control would, and the result of a patch if a second file is given. It prints each fault on one
// line that names the file, and returns the exit status.
func (c checker) checkConfiguration(files []string) int {
	config, err := os.ReadFile(files[0])
	if err != nil {
		fmt.Fprintln(c.errs, "hazelfleet:", err)
		return exitUsage
	}
	report := routeconfig.Validate(config)
	table := report.Table
	if len(files) > 1 {
		// Control checks the result of a patch alone. The configuration may be one that an earlier version has accepted and that the patch corrects.
		c.printWarnings(files[0], report.Faults)
		c.printWarnings(files[0], report.Unknown)
		table = c.checkPatch(config, files[1])
	} else {
		c.print(files[0], report.Faults, report.Unknown)
	}
	if table == nil {
		return exitUsage
	}
	fmt.Fprintf(c.out, "version %d is in order: %d routes, %d services\n", table.Version, len(table.Routes), len(table.Services))
	return exitOK
}

// checkPatch returns the routing table that results from the patch in a file, or nil after printing why the patch is rejected.
func (c checker) checkPatch(config []byte, file string) *routeconfig.Table {
	patched, err := applyPatch(config, file)
	if err != nil {
		fmt.Fprintf(c.errs, "hazelfleet: %s: %v\n", file, err)
		return nil
	}
	report := routeconfig.Validate(patched)
	for i := range report.Faults {
		report.Faults[i].Line = 0 // the line refers to the patched configuration, which is in no file
	}
	c.print(file, report.Faults, nil)
	return report.Table
}

// applyPatch returns the configuration that results from the patch in a file.
func applyPatch(config []byte, file string) ([]byte, error) {
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

// printWarnings writes findings about a file that don't make it invalid, one per line.
func (c checker) printWarnings(file string, findings []diagnostic.Finding) {
	for _, finding := range findings {
		fmt.Fprintf(c.out, "warning: %s: %s\n", file, finding)
	}
}

// print writes the findings about a file, one per line: unknown fields as warnings, faults as errors.
func (c checker) print(file string, faults, unknown []diagnostic.Finding) {
	c.printWarnings(file, unknown)
	for _, finding := range faults {
		fmt.Fprintf(c.errs, "hazelfleet: %s: %s\n", file, finding)
	}
}
