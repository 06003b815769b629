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

// lockCores keeps other measurements off some cores.
func lockCores(ctx context.Context, lists ...[]int) (unlock func(), err error) {
	return process.LockCores(ctx, slices.Concat(lists...), func(core int) {
		fmt.Fprintf(os.Stderr, "waiting for core %d, which another measurement has\n", core)
	})
}

func loadAverage() string {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(raw))[:3], " ")
}

// parseCores reads four lists of cores, like 2,3,4-5,6-7.
func parseCores(text string) (c overload.Cores, err error) {
	if text == "none" {
		return c, nil
	}
	parts := strings.Split(text, ",")
	if len(parts) != 4 {
		return c, fmt.Errorf("cores: %q is not four parts", text)
	}
	for i, to := range []*[]int{&c.Program, &c.Boxes, &c.Load, &c.Flood} {
		from, end, ranged := strings.Cut(parts[i], "-")
		if !ranged {
			end = from
		}
		a, err1 := strconv.Atoi(from)
		b, err2 := strconv.Atoi(end)
		if err1 != nil || err2 != nil || a < 0 || b < a || b >= 1024 {
			return c, fmt.Errorf("cores: %q is neither a core nor a range", parts[i])
		}
		for ; a <= b; a++ {
			*to = append(*to, a)
		}
	}
	return c, nil
}
