package process

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// lockEvery is the time between two tries for a core.
const lockEvery = 100 * time.Millisecond

// LockCores waits until no other measurement of this laboratory uses some cores, and has others wait until unlock is called
// or the program ends. waiting, if any, is called once with a core that is in use. Danger: two measurements on the same
// cores measure each other.
func LockCores(ctx context.Context, cores []int, waiting func(core int)) (unlock func(), err error) {
	var files []*os.File
	unlock = func() {
		for _, f := range files {
			_ = f.Close() // gives the lock back, whatever it returns
		}
	}
	cores = slices.Compact(slices.Sorted(slices.Values(cores))) // all take them in one order, so that none waits in a ring
	told := waiting == nil
	for _, core := range cores {
		f, err := os.OpenFile(filepath.Join(os.TempDir(), fmt.Sprintf("hazellab-core-%d.lock", core)), os.O_CREATE|os.O_RDWR, 0o666)
		if err != nil {
			unlock()
			return nil, err
		}
		files = append(files, f)
		for unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil {
			if !told {
				told = true
				waiting(core)
			}
			select {
			case <-ctx.Done():
				unlock()
				return nil, ctx.Err()
			case <-time.After(lockEvery):
			}
		}
	}
	return unlock, nil
}
