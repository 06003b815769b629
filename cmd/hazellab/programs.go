package main

import (
	"os"
	"path/filepath"

	"hazelwheel/internal/lab/experiment"
)

// sidecarBinary returns the file of the sidecar's program: the given one, or that beside this program. It is a usage error where there is no
// such file.
func sidecarBinary(given string) (path string, err error) {
	if path = given; path == "" {
		if path, err = siblingProgram(experiment.Sidecar); err != nil {
			return "", err
		}
	}
	if _, err := os.Stat(path); err != nil {
		return "", usageError(err)
	}
	return path, nil
}

// siblingProgram returns the path of a program in the folder of this one.
func siblingProgram(name string) (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(self), name), nil
}
