package appconfig

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"slices"
	"strings"
	"unicode/utf8"

	"hazelwheel/internal/diagnostic"
)

// Kind is the kind of a configuration file.
type Kind string

// The kinds of files.
const (
	AppFile      Kind = "app"
	SiteFile     Kind = "site"
	PlatformFile Kind = "platform"
	FeaturesFile Kind = "features"
	GroupsFile   Kind = "groups" // quota groups; package quotas reads the contents
)

// MaxBytes limits the size of a file. The endpoint list in a platform's file is by far the largest part of any file.
const MaxBytes = 16 << 20

// Place is a position in a file: a line and a column, both from 1, and the field's name in the file.
type Place struct {
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Field  string `json:"field"`
}

// FaultKind is the kind of a Fault.
type FaultKind string

// The kinds of faults, each with its arguments.
const (
	Unreadable     FaultKind = "unreadable"      // why
	TooLarge       FaultKind = "too large"       // most bytes
	NotUTF8        FaultKind = "not UTF-8"       // the byte's offset
	ByteOrder      FaultKind = "byte order mark" //
	Syntax         FaultKind = "syntax"          // why
	Empty          FaultKind = "empty"           //
	TooDeep        FaultKind = "too deep"        // the most
	FormatUnknown  FaultKind = "format"          // what is written, what is wanted
	FormatNewer    FaultKind = "newer format"    // what is written, what is known
	Twice          FaultKind = "twice"           // the field, the other line
	Unknown        FaultKind = "unknown"         // the field, nearest known one
	UnknownNear    FaultKind = "unknown near"    // of a platform file: the field, nearest known one
	UnknownFar     FaultKind = "unknown far"     // of a platform file: the field
	WrongType      FaultKind = "type"            // what it is, what is wanted
	NoUnit         FaultKind = "no unit"         // the number, what may be meant
	BadUnit        FaultKind = "unit"            // the text, what may be meant
	TooHuge        FaultKind = "huge"            // the number
	NotInteger     FaultKind = "not whole"       // the number
	OutOfRange     FaultKind = "range"           // the value, the range
	MinusZero      FaultKind = "minus zero"      //
	NotOneOf       FaultKind = "not one of"      // the word, the words, nearest one
	Missing        FaultKind = "missing"         // what it is
	EmptyText      FaultKind = "empty text"      // what it is
	NotAPlace      FaultKind = "not a place"     // locality, how many there are
	OtherFileField FaultKind = "other file"      // the field, the kind of file that has it
	OtherTable     FaultKind = "other table"     // the field, where in the file it belongs
)

// Fault is an error in a file that can be detected without any other file.
type Fault struct {
	Kind  FaultKind
	Place Place
	Args  []any

	path string // of the field in the model, where there is one
}

// File is a parsed configuration file. Valid parts are in App and Site, invalid ones in Faults.
type File struct {
	Name       string
	Kind       Kind
	Text       []byte
	Mode       fs.FileMode // 0 if it was not read from disk
	App        *App        // the application's configuration; nil if the file has none
	Site       *Site       // the site's configuration; nil if the file has none
	Faults     []Fault
	Unreadable bool // the file could not be read, or is too large

	lines  diagnostic.Lines
	lost   []lost           // invalid expressions that were removed from the text, by offset
	places map[string]Place // positions by path in the model: "app.class[0].aim"
	bad    map[string]bool  // paths of invalid fields
}

// Open reads and parses a file; "-" is standard input.
func Open(name string, stdin io.Reader) *File {
	from, mode := stdin, fs.FileMode(0)
	if name != "-" {
		h, err := os.Open(name)
		if err != nil {
			return unreadable(name, err)
		}
		defer func() { _ = h.Close() }() // read only
		info, err := h.Stat()
		if err != nil {
			return unreadable(name, err)
		}
		if info.IsDir() {
			return unreadable(name, errors.New("it is a folder"))
		}
		from, mode = h, info.Mode()
	}
	raw, err := io.ReadAll(io.LimitReader(from, MaxBytes+1))
	if err != nil {
		return unreadable(name, err)
	}
	f := Read(name, raw)
	f.Mode = mode
	return f
}

func unreadable(name string, err error) *File {
	var path *fs.PathError
	if errors.As(err, &path) {
		err = path.Err
	}
	f := &File{Name: name, Unreadable: true}
	f.fault(Unreadable, Place{Line: 1, Column: 1}, "", err.Error())
	return f
}

// Read parses the text of a file. The result holds the valid parts and all faults.
func Read(name string, raw []byte) *File {
	f := &File{Name: name, Text: raw, places: map[string]Place{}, bad: map[string]bool{}}
	f.lines = diagnostic.NewLines(nil)
	if len(raw) > MaxBytes {
		f.Unreadable, f.Text = true, nil
		f.fault(TooLarge, Place{Line: 1, Column: 1}, "", MaxBytes>>20)
		return f
	}
	if rest, ok := bytes.CutPrefix(raw, []byte("\xef\xbb\xbf")); ok {
		f.Text = rest
	}
	f.lines = diagnostic.NewLines(f.Text)
	if !utf8.Valid(f.Text) {
		at := 0
		for at < len(f.Text) {
			r, size := utf8.DecodeRune(f.Text[at:])
			if r == utf8.RuneError && size == 1 {
				break
			}
			at += size
		}
		f.faultAt(NotUTF8, at, "", at)
		return f
	}
	start := bytes.TrimLeft(f.Text, " \t\r\n")
	isJSON := len(start) > 0 && start[0] == '{'
	if len(f.Text) < len(raw) {
		if isJSON {
			f.faultAt(ByteOrder, 0, "", "nothing that is JSON begins so, and serve refuses it")
		} else {
			f.faultAt(ByteOrder, 0, "", "some editors write it, and other programs stumble over it")
		}
	}
	if len(start) == 0 {
		f.faultAt(Empty, 0, "")
		return f
	}
	if isJSON {
		f.readJSON()
	} else {
		f.readTOML()
	}
	return f
}

func (f *File) readTOML() {
	root := f.parseTOML()
	if known := knownNames(AppFile).and(knownNames(SiteFile)); !slices.ContainsFunc(root.items, func(e *node) bool { return known[e.key] }) && len(f.Faults) > 0 {
		return // it is not a configuration file, and a list of missing fields would not help
	}
	format := root.get("format")
	word := ""
	if format != nil && format.kind == text {
		word = format.text
	}
	kind, version, _ := strings.Cut(word, "/")
	f.Kind = Kind(kind)
	switch {
	case word == AppFormat, word == SiteFormat:
	case (f.Kind == AppFile || f.Kind == SiteFile) && version != "" && strings.Trim(version, "0123456789") == "":
		f.fault(FormatNewer, f.placeOf(format, "format"), "", word, kind+"/1")
	default:
		f.Kind = guessKind(root)
		if format == nil || format.kind != broken {
			wanted := string(f.Kind) + "/1"
			f.fault(FormatUnknown, f.placeOf(format, "format"), "", word, wanted)
		}
	}
	d := decoder{f: f, form: tomlForm, side: string(f.Kind) + "."}
	if f.Kind == SiteFile {
		f.Site = NewSite()
		d.object(f.Site, root)
		f.Site.Format = SiteFormat
	} else {
		f.App = NewApp()
		d.object(f.App, root)
		f.App.Format = AppFormat
	}
	d.unknown(root, knownNames(f.Kind))
}

// guessKind guesses the kind of a TOML file without a valid format from its top-level names.
func guessKind(root *node) Kind {
	score := 0
	app, site := knownNames(AppFile)[""], knownNames(SiteFile)[""]
	for _, e := range root.items {
		if app[e.key] && !site[e.key] {
			score++
		}
		if site[e.key] && !app[e.key] {
			score--
		}
	}
	if score < 0 {
		return SiteFile
	}
	return AppFile
}

func (f *File) readJSON() {
	root := f.parseJSON()
	if root == nil {
		f.Kind = PlatformFile
		return
	}
	f.Kind = FeaturesFile
	for _, key := range []string{"settings", "listen", "discovery", "name", "limits"} {
		if root.get(key) != nil {
			f.Kind = PlatformFile
		}
	}
	if root.get("groups") != nil && root.get("settings") == nil {
		f.Kind = GroupsFile
		return
	}
	f.App = NewApp()
	if f.Kind == FeaturesFile {
		d := decoder{f: f, form: featuresForm, side: "app."}
		d.object(f.App, root)
		d.unknown(root, knownNames(FeaturesFile))
		return
	}
	f.Site = NewSite()
	app, site := decoder{f: f, form: platformForm, side: "app."}, decoder{f: f, form: platformForm, side: "site."}
	app.object(f.App, root)
	site.object(f.Site, root)
	f.readHome(root)
	if known := root.get(listField); known != nil {
		f.places["app.known"] = f.placeOf(known, listField)
	}
	d := decoder{f: f, form: platformForm}
	d.unknown(root, knownNames(PlatformFile))
}

// readHome resolves settings.locality of a platform's file, an index into the site's places.
func (f *File) readHome(root *node) {
	n := root.walk("settings/locality")
	if n == nil || n.kind == null {
		return
	}
	f.places["app.home"] = f.placeOf(n, "settings.locality")
	switch {
	case n.kind != integer:
		f.faultField(WrongType, "app.home", n.kind.String(), "a whole number")
	case n.integer < 0 || n.integer >= int64(len(f.Site.Places)):
		if !f.bad["site.places"] {
			f.faultField(NotAPlace, "app.home", n.integer, len(f.Site.Places))
		}
		f.bad["app.home"] = true
	default:
		f.App.Home = f.Site.Places[n.integer]
	}
}

// At returns the position of a field of the model ("app.class[0].aim") or, if the file lacks it, of the table around it.
func (f *File) At(path string) Place {
	for ; path != ""; path = parent(path) {
		if p, ok := f.places[path]; ok {
			return p
		}
	}
	return Place{Line: 1, Column: 1}
}

func parent(path string) string { return path[:max(strings.LastIndexAny(path, ".["), 0)] }

// Has reports whether the file contains a field of the model.
func (f *File) Has(path string) bool {
	_, ok := f.places[path]
	return ok
}

// Bad reports whether a field or a table around it is invalid. Further findings on it would only be consequences.
func (f *File) Bad(path string) bool {
	for ; path != ""; path = parent(path) {
		if f.bad[path] {
			return true
		}
	}
	return false
}

func (f *File) placeOf(n *node, field string) Place {
	if n == nil {
		return Place{Line: 1, Column: 1, Field: field}
	}
	line, column := f.lines.At(n.offset)
	return Place{line, column, field}
}

func (f *File) lineAt(offset int) int {
	line, _ := f.lines.At(offset)
	return line
}

func (f *File) fault(kind FaultKind, at Place, path string, args ...any) {
	if path != "" {
		f.bad[path] = true
	}
	f.Faults = append(f.Faults, Fault{kind, at, args, path})
}

func (f *File) faultAt(kind FaultKind, offset int, field string, args ...any) {
	line, column := f.lines.At(offset)
	if field != "" {
		args = append([]any{field}, args...)
	}
	f.fault(kind, Place{line, column, field}, "", args...)
}

// faultField adds a fault at a field of the model.
func (f *File) faultField(kind FaultKind, path string, args ...any) {
	f.fault(kind, f.At(path), path, args...)
}

// String returns "line:column", as compilers print positions.
func (p Place) String() string { return fmt.Sprintf("%d:%d", p.Line, p.Column) }
