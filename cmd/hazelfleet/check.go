package main

import (
	"fmt"
	"io"
	"os"

	"hazelwheel/internal/routes"
)

// checkConfiguration checks a configuration, and a patch on top of it where a second file is named, as control would. It prints the first
// fault in one line that names the file, and returns the status with which to end.
func checkConfiguration(files []string, out, errs io.Writer) int {
	config, err := os.ReadFile(files[0])
	if err != nil {
		fmt.Fprintln(errs, "hazelfleet:", err)
		return statusUsage
	}
	table, err := routes.Parse(config)
	if err != nil {
		fmt.Fprintf(errs, "hazelfleet: %s: %v\n", files[0], err)
		return statusUsage
	}
	if len(files) > 1 {
		if table, err = checkPatch(config, files[1]); err != nil {
			fmt.Fprintf(errs, "hazelfleet: %s: %v\n", files[1], err)
			return statusUsage
		}
	}
	fmt.Fprintf(out, "version %d is in order: %d routes, %d services\n", table.Version, len(table.Routes), len(table.Services))
	return 0
}

// checkPatch returns what a patch in a file makes of a configuration.
func checkPatch(config []byte, file string) (*routes.Table, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	patch, err := routes.ParsePatch(text)
	if err != nil {
		return nil, err
	}
	made, err := patch.Apply(config)
	if err != nil {
		return nil, err
	}
	return routes.Parse(made)
}
