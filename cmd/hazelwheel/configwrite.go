package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"
)

// output is a file that a command writes.
type output struct {
	name   string
	text   []byte
	secret bool // it holds the hash of one
}

// mode lets the sidecar's user read what another has rendered, unless that would show a secret's hash to all.
func (o *output) mode() os.FileMode {
	if o.secret {
		return 0o600
	}
	return 0o644
}

// writeFiles puts files into the folder that --out names, or one after the other on standard output. Danger: a sidecar that is
// told to read its file again while it is written would read a half; so each is written beside its place and moved there.
func writeFiles(c *cli.Command, all []output) error {
	folder := c.String("out")
	for _, o := range all {
		if len(o.text) == 0 {
			continue
		}
		if folder == "" {
			if _, err := c.Root().Writer.Write(o.text); err != nil {
				return err
			}
			continue
		}
		if err := writeWhole(filepath.Join(folder, o.name), o.text, o.mode()); err != nil {
			return fault(err)
		}
		fmt.Fprintln(c.Root().ErrWriter, "written:", filepath.Join(folder, o.name))
	}
	return nil
}

func writeWhole(path string, text []byte, mode os.FileMode) error {
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
