package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"
)

// outputFile is a file that a command writes.
type outputFile struct {
	name            string
	text            []byte
	hasSecretDigest bool // text holds the hash of a drill's secret
}

// mode returns the permissions of the file. Other users may read it, as the sidecar may run as one of them, unless it holds the hash of a
// secret.
func (o *outputFile) mode() os.FileMode {
	if o.hasSecretDigest {
		return 0o600
	}
	return 0o644
}

// writeFiles writes files into the folder that --out names, or one after the other to standard output. Files without text are left out.
func writeFiles(c *cli.Command, files []outputFile) error {
	folder := c.String("out")
	for _, o := range files {
		if len(o.text) == 0 {
			continue
		}
		if folder == "" {
			if _, err := c.Root().Writer.Write(o.text); err != nil {
				return err
			}
			continue
		}
		if err := writeFileAtomically(filepath.Join(folder, o.name), o.text, o.mode()); err != nil {
			return usageError(err)
		}
		fmt.Fprintln(c.Root().ErrWriter, "written:", filepath.Join(folder, o.name))
	}
	return nil
}

// writeFileAtomically writes a temporary file in the same folder, syncs it and renames it to path. Danger: a sidecar that reloads its
// configuration while a file is written in place reads part of it.
func writeFileAtomically(path string, text []byte, mode os.FileMode) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".hazelwheel-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }() // temporary
	_, err = f.Write(text)
	if err = errors.Join(err, f.Chmod(mode), f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}
