// Package replay shows the effect of a file of quotas on a recorded load: it replays the load against package quota in simulated time
// and reports for each group and hour how many requests were served and how much quota was used, borrowed and lent.
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

// maxLines limits the number of lines of a series.
const maxLines = 2_000_000

// Step sets the load of a group from a time on: evenly spaced requests of one size, at a rate.
type Step struct {
	AtSeconds         float64 // since the start
	Group             int32
	RequestsPerSecond float64
	Bytes             float64 // of a request and its response
	WorkSeconds       float64 // server time per request
}

// Series is a load, ordered by time.
type Series struct {
	Steps      []Step
	EndSeconds float64 // since the start
}

// columns are the column names in the first line; the last two columns are optional.
var columns = []string{"at_s", "group", "rate_ps", "bytes", "work_s"}

// ReadSeries reads a load as comma-separated values with a first line of column names. The load ends at the time of the last line. An
// error is one line of text that names the invalid line and column.
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
		if line > maxLines {
			return nil, fmt.Errorf("line %d: want at most %d", line, maxLines)
		}
		step, err := readStep(record, t)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		if step.AtSeconds < s.EndSeconds {
			return nil, fmt.Errorf("line %d: at_s: %g comes after %g", line, step.AtSeconds, s.EndSeconds)
		}
		s.Steps, s.EndSeconds = append(s.Steps, step), step.AtSeconds
	}
	if s.EndSeconds <= 0 {
		return nil, errors.New("the last line's time is the end, and it is 0")
	}
	return s, nil
}

// readStep parses one line.
func readStep(record []string, t *quota.Tree) (step Step, err error) {
	for i, text := range record {
		if i == 1 {
			g, ok := t.Find(text)
			if !ok || !t.AcceptsRequests(g) {
				return step, fmt.Errorf("group: %q is not a group without groups below it", text)
			}
			step.Group = g
			continue
		}
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= 0 && v <= 1e12) || math.IsInf(v, 0) {
			return step, fmt.Errorf("%s: %q is not a number from 0 to 1e12", columns[i], text)
		}
		*[]*float64{&step.AtSeconds, nil, &step.RequestsPerSecond, &step.Bytes, &step.WorkSeconds}[i] = v
	}
	if step.RequestsPerSecond > 1e6 {
		return step, errors.New("rate_ps: want at most 1000000")
	}
	return step, nil
}
