package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// resourceSample is the resident memory, in megabytes of 2^20 bytes, and the open descriptors of a process at one time.
type resourceSample struct {
	at          time.Time
	megabytes   float64
	descriptors int
}

// sampleResources appends a sample of the running incarnation, if there is one.
func (p *process) sampleResources() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	pid := p.cmd.Process.Pid
	megabytes, err := residentMegabytes(pid)
	entries, listErr := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil || listErr != nil {
		return // it has just exited
	}
	p.samples = append(p.samples, resourceSample{time.Now(), megabytes, len(entries)})
}

// residentMegabytes reads the resident memory of a process, in megabytes of 2^20 bytes.
func residentMegabytes(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, Error.New("statm: %q", data)
	}
	pages, err := strconv.Atoi(fields[1])
	return float64(pages*os.Getpagesize()) / (1 << 20), err
}

// Bounds of growth from the first to the last third of an incarnation's samples: the last mean may be growthFactor times the first plus the
// constant of its unit.
const (
	minSamplesForGrowth = 9
	growthFactor        = 1.5
	growthMegabytes     = 12.0
	growthDescriptors   = 64
	// descriptorsPerMachine are the connections between a process and another machine: each keeps one for its next calls. In a fleet of more than 32
	// machines there are more of them than growthDescriptors allows. Of a fleet with 102 machines the agents had 44 to 81 outgoing connections, never two
	// to one machine, and 73 to 97 incoming ones.
	descriptorsPerMachine = 2
)

// checkGrowth compares the means of the first and the last third of the running incarnation's samples, if it is at least minAge old, and
// reports growth beyond the bounds.
func (p *process) checkGrowth(minAge time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || time.Since(p.startedAt) < minAge || len(p.samples) < minSamplesForGrowth {
		return
	}
	third := len(p.samples) / 3
	first, last := meanSample(p.samples[:third]), meanSample(p.samples[len(p.samples)-third:])
	if last.megabytes > growthFactor*first.megabytes+growthMegabytes {
		p.fleet.checker.ReportViolation(ResourcesBounded, "%s: %.0f MB, then %.0f MB", p.name(), first.megabytes, last.megabytes)
	}
	descriptors := max(growthDescriptors, descriptorsPerMachine*len(p.fleet.machines()))
	if float64(last.descriptors) > growthFactor*float64(first.descriptors)+float64(descriptors) {
		p.fleet.checker.ReportViolation(ResourcesBounded, "%s: %d descriptors, then %d", p.name(), first.descriptors, last.descriptors)
	}
}

// meanSample returns the mean of samples; descriptors are rounded down.
func meanSample(samples []resourceSample) (out resourceSample) {
	for _, s := range samples {
		out.megabytes += s.megabytes / float64(len(samples))
		out.descriptors += s.descriptors
	}
	out.descriptors /= max(len(samples), 1)
	return out
}
