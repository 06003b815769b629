package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"hazelwheel/internal/lab/overload"
	"hazelwheel/internal/lab/process"
)

// lockCores waits until no other measurement uses the cores, and keeps others off them until unlock is called.
func lockCores(ctx context.Context, lists ...[]int) (unlock func(), err error) {
	return process.LockCores(ctx, slices.Concat(lists...), func(core int) {
		fmt.Fprintf(os.Stderr, "waiting for core %d, which another measurement has\n", core)
	})
}

// loadAverage returns the machine's load averages over 1, 5 and 15 minutes.
func loadAverage() string {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(raw))[:3], " ")
}

// maxCores limits the number of a core.
const maxCores = 1024

// parseCores parses the cores of the program, the servers, the load and the flood, each one core or a range, like 2,3,4-5,6-7.
func parseCores(text string) (c overload.Cores, err error) {
	if text == "none" {
		return c, nil
	}
	parts := strings.Split(text, ",")
	if len(parts) != 4 {
		return c, fmt.Errorf("cores: %q is not four parts", text)
	}
	for i, list := range []*[]int{&c.Program, &c.Boxes, &c.Load, &c.Flood} {
		from, to, isRange := strings.Cut(parts[i], "-")
		if !isRange {
			to = from
		}
		first, firstErr := strconv.Atoi(from)
		last, lastErr := strconv.Atoi(to)
		if firstErr != nil || lastErr != nil || first < 0 || last < first || last >= maxCores {
			return c, fmt.Errorf("cores: %q is neither a core nor a range", parts[i])
		}
		for core := first; core <= last; core++ {
			*list = append(*list, core)
		}
	}
	return c, nil
}
