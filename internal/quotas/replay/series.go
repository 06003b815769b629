// Package replay says what a file of quotas would have done to a load: it plays the load against the decisions in simulated
// time and adds up, hour by hour, what each group had.
package replay

import (
	"bufio"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"hazelwheel/internal/decide/quota"
)

// mostLines bounds a series.
const mostLines = 2_000_000

// Step is what a group asks for from a time on: so many requests a second, evenly spaced, of a size.
type Step struct {
	AtS    float64 // since the start
	Group  int32
	RatePS float64
	Bytes  float64 // of a request and its answer
	WorkS  float64 // of a box
}

// Series is a load, in the order of its times.
type Series struct {
	Steps []Step
	EndS  float64 // since the start
}

// columns of a series; the last two may be left out.
var columns = []string{"at_s", "group", "rate_ps", "bytes", "work_s"}

// ReadSeries reads a load as comma-separated values with a line of names. Its last line's time is the end. An error is one line
// that names the line and the column at fault.
func ReadSeries(in io.Reader, t *quota.Tree) (*Series, error) {
	r := csv.NewReader(bufio.NewReader(in))
	r.ReuseRecord, r.TrimLeadingSpace = true, true
	head, err := r.Read()
	if err != nil {
		return nil, fmt.Errorf("line 1: want the names %s", strings.Join(columns, ","))
	}
	n := len(head)
	if n < 3 || n > len(columns) || !slices.Equal(head, columns[:n]) {
		return nil, fmt.Errorf("line 1: want the names %s, the last two as you like", strings.Join(columns, ","))
	}
	s := &Series{}
	for line := 2; ; line++ {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", line, errors.Unwrap(err))
		}
		if line > mostLines {
			return nil, fmt.Errorf("line %d: want at most %d", line, mostLines)
		}
		step, err := readStep(record, t)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		if step.AtS < s.EndS {
			return nil, fmt.Errorf("line %d: at_s: %g comes after %g", line, step.AtS, s.EndS)
		}
		s.Steps, s.EndS = append(s.Steps, step), step.AtS
	}
	if s.EndS <= 0 {
		return nil, errors.New("the last line's time is the end, and it is 0")
	}
	return s, nil
}

func readStep(record []string, t *quota.Tree) (step Step, err error) {
	for i, text := range record {
		if i == 1 {
			g, ok := t.Find(text)
			if !ok || !t.AcceptsRequests(g) {
				return step, fmt.Errorf("group: %q is no group without others below it", text)
			}
			step.Group = g
			continue
		}
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= 0 && v <= 1e12) || math.IsInf(v, 0) {
			return step, fmt.Errorf("%s: %q is no number from 0 to 1e12", columns[i], text)
		}
		*[]*float64{&step.AtS, nil, &step.RatePS, &step.Bytes, &step.WorkS}[i] = v
	}
	if step.RatePS > 1e6 {
		return step, errors.New("rate_ps: want at most 1000000")
	}
	return step, nil
}
