// Package internal holds no code of its own, only the test of which package may know which.
package internal

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// floors are the rooms of the program from the ground up. A package may know its own room and the floors below; a new
// room that stands on none is a failure, else it would be free of the rule by oversight.
var floors = [][]string{
	{"policy", "internal/diagnostic", "internal/msgpacklimit"},
	{"internal/decide/register", "internal/decide/membership", "internal/routeconfig", "internal/nodeconfig", "internal/store"},
	{"internal/message", "internal/transport"},
	{"internal/decide", "internal/netio", "internal/buffer", "internal/checker", "internal/health", "internal/hotrestart",
		"internal/tomlfile"},
	{"internal/peers", "internal/http1", "internal/thrift", "internal/sidecarconfig", "internal/endpointset", "internal/faultinjection", "internal/quotas",
		"internal/appconfig", "internal/maintenanceplan"},
	{"internal/rewrite", "internal/capture", "internal/environment", "internal/simulatorwire"},
	{"internal/featureconfig", "internal/lint", "internal/gossip", "internal/configredirect"},
	{"internal/sidecar"},
	{"internal/frontend", "internal/coordination", "internal/control", "internal/agent", "internal/proxy"},
	{"internal/process", "internal/sim", "internal/lab"},
	{"cmd", "example", "internal/ci"},
}

// apart are arrows that go down and are still wrong: who judges or plays the world must not take the sidecar's word, and
// the core must not know the world it is tried in.
var apart = map[string][]string{
	"internal/environment":   {"policy", "internal/sidecar", "internal/featureconfig", "internal/sidecarconfig"},
	"internal/checker":   {"policy", "internal/sidecar"},
	"internal/lab":     {"policy", "internal/sidecar", "internal/frontend", "internal/featureconfig", "internal/coordination"},
	"internal/sidecar": {"internal/lint", "internal/environment"},
}

// impure are the packages that bring the machine or the clock; net/netip is arithmetic.
var impure = []string{"net", "os", "io/fs", "log", "syscall", "sync", "math/rand", "crypto/rand", "runtime"}

const module = "hazelwheel/"

// room gives the room of a package and its floor, -1 if it has none.
func room(pkg string) (string, int) {
	for floor, rooms := range floors {
		for _, r := range rooms {
			if within(pkg, r) {
				return r, floor
			}
		}
	}
	return pkg, -1
}

func within(pkg, room string) bool { return pkg == room || strings.HasPrefix(pkg, room+"/") }

// upward says what is wrong with pkg knowing other, "" if nothing is.
func upward(pkg, other string) string {
	r, floor := room(pkg)
	s, below := room(other)
	switch {
	case floor < 0:
		return fmt.Sprintf("%s stands on no floor", pkg)
	case below < 0:
		return fmt.Sprintf("%s knows %s, which stands on no floor", pkg, other)
	case r != s && below >= floor:
		return fmt.Sprintf("%s knows %s: the arrow goes up", pkg, other)
	case slices.Contains(apart[r], s):
		return fmt.Sprintf("%s knows %s: they are kept apart", pkg, other)
	}
	return ""
}

// machine lists what a file has that a pure package must not: packages, clocks, goroutines.
func machine(f *ast.File) (found []string) {
	for _, i := range f.Imports {
		name, _ := strconv.Unquote(i.Path.Value)
		if name != "net/netip" && slices.ContainsFunc(impure, func(p string) bool { return name == p || p == "net" && within(name, p) }) {
			found = append(found, "imports "+name)
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			found = append(found, "starts a goroutine")
		case *ast.SelectorExpr:
			if x, ok := n.X.(*ast.Ident); ok && x.Name == "time" && slices.Contains([]string{"Now", "Since", "Until", "After", "AfterFunc",
				"NewTimer", "NewTicker", "Sleep", "Tick"}, n.Sel.Name) {
				found = append(found, "asks time."+n.Sel.Name)
			}
		}
		return true
	})
	return found
}

// sources calls see for each file of the program that is not a test.
func sources(t *testing.T, see func(pkg, file string, f *ast.File)) {
	t.Helper()
	set := token.NewFileSet()
	err := filepath.WalkDir("..", func(p string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if name := d.Name(); d.IsDir() && p != ".." && (strings.HasPrefix(name, ".") || name == "testdata" || name == "journal") {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(p, ".go") || strings.HasSuffix(p, "_test.go") {
			return nil
		}
		f, err := parser.ParseFile(set, p, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		rel := filepath.ToSlash(strings.TrimPrefix(p, ".."+string(filepath.Separator)))
		see(path.Dir(rel), rel, f)
		return nil
	})
	require.NoError(t, err)
}

func TestArrowsGoDown(t *testing.T) {
	arrows, wrong := 0, []string{}
	sources(t, func(pkg, file string, f *ast.File) {
		for _, i := range f.Imports {
			name, _ := strconv.Unquote(i.Path.Value)
			if other, ours := strings.CutPrefix(name, module); ours {
				arrows++
				if w := upward(pkg, other); w != "" {
					wrong = append(wrong, file+": "+w)
				}
			}
		}
	})
	require.Greater(t, arrows, 100, "the walk found the program")
	require.Empty(t, wrong)
}

func TestDecisionsAreFreeOfTheMachine(t *testing.T) {
	files, wrong := 0, []string{}
	sources(t, func(pkg, file string, f *ast.File) {
		if !within(pkg, "policy") && !within(pkg, "internal/decide") && !within(pkg, "internal/msgpacklimit") {
			return
		}
		files++
		for _, m := range machine(f) {
			wrong = append(wrong, file+" "+m)
		}
	})
	require.Greater(t, files, 5, "the walk found the decisions")
	require.Empty(t, wrong)
}

// The two walks above pass today; these show what they would say.
func TestWrongArrowsAreNamed(t *testing.T) {
	require.Contains(t, upward("policy", "internal/sidecar"), "goes up")
	require.Contains(t, upward("internal/decide/quota", "internal/http1"), "goes up")
	require.Contains(t, upward("internal/http1", "internal/thrift"), "goes up")
	require.Contains(t, upward("internal/lab/load", "internal/sidecar"), "kept apart")
	require.Contains(t, upward("internal/unheard", "policy"), "no floor")
	require.Empty(t, upward("internal/netio/virtual", "internal/netio"))

	f, err := parser.ParseFile(token.NewFileSet(), "x.go", `package x
import ("net"; "net/http"; "net/netip"; "os"; "time")
func f() { go f(); _ = time.Now(); _ = time.Second }`, 0)
	require.NoError(t, err)
	require.Equal(t, []string{"imports net", "imports net/http", "imports os", "starts a goroutine", "asks time.Now"}, machine(f))
}
