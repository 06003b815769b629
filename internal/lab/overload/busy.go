package overload

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// busy returns how long some cores have worked for processes since the machine began, interrupts left out; 0 where the
// system doesn't tell.
func busy(cores []int) (sum time.Duration) {
	raw, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasPrefix(fields[0], "cpu") {
			continue
		}
		core, err := strconv.Atoi(fields[0][3:])
		if err != nil || !slices.Contains(cores, core) {
			continue
		}
		for _, f := range fields[1:4] { // user, nice and system, in hundredths of a second
			ticks, err := strconv.ParseInt(f, 10, 64)
			if err != nil {
				return 0
			}
			sum += time.Duration(ticks) * 10 * time.Millisecond
		}
	}
	return sum
}
