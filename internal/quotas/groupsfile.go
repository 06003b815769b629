package quotas

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"hazelwheel/internal/decide/quota"
)

// maxFileBytes limits the size of a file of groups. quota.MaxGroups groups with long names fit into it.
const maxFileBytes = 64 << 20

// groupsFile is the JSON form of a file of groups.
type groupsFile struct {
	Limits []struct {
		Measure string  `json:"measure"`
		WindowS float64 `json:"window_s"`
		Quota   float64 `json:"quota"`
	} `json:"limits"`
	Groups []struct {
		Name   string             `json:"name"`
		Parent string             `json:"parent"`
		Share  float64            `json:"share"`
		Weight *float64           `json:"weight"`
		Cap    float64            `json:"cap"`
		Floor  float64            `json:"floor"`
		Quotas map[string]float64 `json:"quotas"`
	} `json:"groups"`
}

// ReadFile reads a file of groups. An error is one line that names the file and the invalid group or field.
func ReadFile(path string) (*quota.Tree, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("quotas: %w", err)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("quotas: %s: %d bytes, want at most %d", path, info.Size(), maxFileBytes)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("quotas: %w", err)
	}
	t, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("quotas: %s: %w", path, err)
	}
	return t, nil
}

// Parse parses the content of a file of groups. An error is one line.
func Parse(raw []byte) (*quota.Tree, error) {
	var f groupsFile
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return nil, jsonError(raw, err)
	}
	if d.More() {
		return nil, errors.New("more follows the object")
	}
	var limits []quota.Limit
	for i, l := range f.Limits {
		m, ok := quota.ParseMeasure(l.Measure)
		if !ok {
			return nil, fmt.Errorf("limits[%d].measure: %q is unknown, want requests, bytes, work or open", i, l.Measure)
		}
		limits = append(limits, quota.Limit{Measure: m, WindowSeconds: l.WindowS, Quota: l.Quota})
	}
	groups := make([]quota.Group, 0, len(f.Groups))
	for _, g := range f.Groups {
		weight := 1.0
		if g.Weight != nil {
			weight = *g.Weight
		}
		groups = append(groups, quota.Group{Name: g.Name, Parent: g.Parent, Share: g.Share, Weight: weight, Cap: g.Cap, Floor: g.Floor, Quotas: g.Quotas})
	}
	return quota.NewTree(limits, groups)
}

// jsonError returns an error of encoding/json as one line of text, with the number of the line in the file if it is known.
func jsonError(raw []byte, err error) error {
	at := int64(-1)
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		at = syntax.Offset
	case errors.As(err, &kind):
		at = kind.Offset
	}
	text := strings.ReplaceAll(strings.TrimPrefix(err.Error(), "json: "), "\n", " ")
	if at < 0 || at > int64(len(raw)) {
		return errors.New(text)
	}
	return fmt.Errorf("line %d: %s", 1+bytes.Count(raw[:at], []byte("\n")), text)
}
