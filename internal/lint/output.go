package lint

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"path/filepath"
	"slices"
)

// colours are the terminal escape sequences of severities.
var colours = map[Severity]string{Error: "\x1b[31m", Warning: "\x1b[33m", Note: "\x1b[36m"}

// WriteText writes a line for each finding and a last one with their numbers.
func WriteText(w io.Writer, all []Finding, colour bool) error {
	on, off := "", ""
	counts := map[Severity]int{}
	for _, f := range all {
		counts[f.Severity]++
		if colour {
			on, off = colours[f.Severity], "\x1b[0m"
		}
		if _, err := fmt.Fprintf(w, "%s:%s: %s%s %s%s: %s\n", f.File, f.Place, on, f.Severity, f.Code, off, f.Message); err != nil {
			return err
		}
	}
	if len(all) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "%d errors, %d warnings, %d notes; hazelwheel config explain CODE tells more\n", counts[Error], counts[Warning], counts[Note])
	return err
}

// WriteJSON writes the findings as a list of objects.
func WriteJSON(w io.Writer, all []Finding) error {
	type line struct {
		File     string   `json:"file"`
		Line     int      `json:"line"`
		Column   int      `json:"column"`
		Field    string   `json:"field,omitempty"`
		Code     string   `json:"code"`
		Severity Severity `json:"severity"`
		Message  string   `json:"message"`
	}
	lines := []line{}
	for _, f := range all {
		lines = append(lines, line{f.File, f.Place.Line, f.Place.Column, f.Place.Field, f.Code, f.Severity, f.Message})
	}
	return writeJSON(w, lines)
}

// sarifText is the part of SARIF 2.1.0 that WriteSARIF uses. The usual library would add a tenth to the sidecar's memory at
// startup, since the sidecar's binary includes this tool; only the tests use it, to read the output.
type sarifText struct {
	Schema  string     `json:"$schema"`
	Version string     `json:"version"`
	Runs    []sarifRun `json:"runs"`
}

type sarifRun struct {
	Tool struct {
		Driver struct {
			Name  string      `json:"name"`
			Rules []sarifRule `json:"rules"`
		} `json:"driver"`
	} `json:"tool"`
	Results []sarifResult `json:"results"`
}

type sarifMessage struct {
	Text string `json:"text"`
}

type sarifRule struct {
	ID    string       `json:"id"`
	Short sarifMessage `json:"shortDescription"`
	Full  sarifMessage `json:"fullDescription"`
}

type sarifResult struct {
	Rule      string       `json:"ruleId"`
	Level     Severity     `json:"level"`
	Message   sarifMessage `json:"message"`
	Locations [1]struct {
		Physical struct {
			Artifact struct {
				URI string `json:"uri"`
			} `json:"artifactLocation"`
			Region struct {
				Line   int `json:"startLine"`
				Column int `json:"startColumn"`
			} `json:"region"`
		} `json:"physicalLocation"`
	} `json:"locations"`
}

// WriteSARIF writes the findings as SARIF, which editors and build servers show beside the lines. Its rules are the checks
// that have findings.
func WriteSARIF(w io.Writer, all []Finding) error {
	run := sarifRun{Results: []sarifResult{}}
	run.Tool.Driver.Name, run.Tool.Driver.Rules = "hazelwheel", []sarifRule{}
	for _, f := range all {
		if !slices.ContainsFunc(run.Tool.Driver.Rules, func(r sarifRule) bool { return r.ID == f.Code }) {
			run.Tool.Driver.Rules = append(run.Tool.Driver.Rules, sarifRule{f.Code, sarifMessage{f.Title}, sarifMessage{cmp.Or(f.Reason, f.Title)}})
		}
		r := sarifResult{Rule: f.Code, Level: f.Severity, Message: sarifMessage{f.Message}}
		p := &r.Locations[0].Physical
		p.Artifact.URI = (&url.URL{Path: filepath.ToSlash(f.File)}).String()
		p.Region.Line, p.Region.Column = f.Place.Line, f.Place.Column
		run.Results = append(run.Results, r)
	}
	return writeJSON(w, sarifText{"https://json.schemastore.org/sarif-2.1.0.json", "2.1.0", []sarifRun{run}})
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
