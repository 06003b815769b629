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

// layers are the packages of the program from the lowest layer up. A package may import packages below its own entry and those of lower
// layers. A package that no layer lists is a failure, else it would be free of the rule by oversight.
var layers = [][]string{
	{"policy", "internal/diagnostic", "internal/msgpacklimit", "internal/apikey"},
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

// forbidden are imports that go down and are still wrong: the checker and the environment must not rely on the sidecar's own code, and
// the sidecar must not know the environment that it is tried in.
var forbidden = map[string][]string{
	"internal/environment": {"policy", "internal/sidecar", "internal/featureconfig", "internal/sidecarconfig"},
	"internal/checker":     {"policy", "internal/sidecar"},
	"internal/lab":         {"policy", "internal/sidecar", "internal/frontend", "internal/featureconfig", "internal/coordination"},
	"internal/sidecar":     {"internal/lint", "internal/environment"},
}

// impure are the standard packages that bring I/O, goroutines or the clock; net/netip is arithmetic.
var impure = []string{"net", "os", "io/fs", "log", "syscall", "sync", "math/rand", "crypto/rand", "runtime"}

const module = "hazelwheel/"

// layerOf returns the entry of layers that a package belongs to and its layer, -1 if it has none.
func layerOf(pkg string) (string, int) {
	for layer, packages := range layers {
		for _, entry := range packages {
			if isBelow(pkg, entry) {
				return entry, layer
			}
		}
	}
	return pkg, -1
}

// isBelow reports whether a package is another one or stands in its folder.
func isBelow(pkg, folder string) bool { return pkg == folder || strings.HasPrefix(pkg, folder+"/") }

// violation describes what is wrong with pkg importing other, "" if nothing is.
func violation(pkg, other string) string {
	importer, layer := layerOf(pkg)
	imported, otherLayer := layerOf(other)
	switch {
	case layer < 0:
		return fmt.Sprintf("%s has no layer", pkg)
	case otherLayer < 0:
		return fmt.Sprintf("%s imports %s, which has no layer", pkg, other)
	case importer != imported && otherLayer >= layer:
		return fmt.Sprintf("%s imports %s: the import goes up", pkg, other)
	case slices.Contains(forbidden[importer], imported):
		return fmt.Sprintf("%s imports %s: the import is forbidden", pkg, other)
	}
	return ""
}

// impurities lists what a file has that a pure package must not: packages, clocks, goroutines.
func impurities(f *ast.File) (found []string) {
	for _, i := range f.Imports {
		name, _ := strconv.Unquote(i.Path.Value)
		if name != "net/netip" && slices.ContainsFunc(impure, func(p string) bool { return name == p || p == "net" && isBelow(name, p) }) {
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

// walkSources calls visit for each file of the program that is not a test.
func walkSources(t *testing.T, visit func(pkg, file string, f *ast.File)) {
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
		visit(path.Dir(rel), rel, f)
		return nil
	})
	require.NoError(t, err)
}

func TestImportsGoDown(t *testing.T) {
	imports, wrong := 0, []string{}
	walkSources(t, func(pkg, file string, f *ast.File) {
		for _, i := range f.Imports {
			name, _ := strconv.Unquote(i.Path.Value)
			if other, ours := strings.CutPrefix(name, module); ours {
				imports++
				if w := violation(pkg, other); w != "" {
					wrong = append(wrong, file+": "+w)
				}
			}
		}
	})
	require.Greater(t, imports, 100, "the walk found the program")
	require.Empty(t, wrong)
}

func TestDecisionsArePure(t *testing.T) {
	files, wrong := 0, []string{}
	walkSources(t, func(pkg, file string, f *ast.File) {
		if !isBelow(pkg, "policy") && !isBelow(pkg, "internal/decide") && !isBelow(pkg, "internal/msgpacklimit") {
			return
		}
		files++
		for _, m := range impurities(f) {
			wrong = append(wrong, file+" "+m)
		}
	})
	require.Greater(t, files, 5, "the walk found the decisions")
	require.Empty(t, wrong)
}

// The two tests above pass on a tree without violations; this one shows that violations are reported.
func TestViolationsAreReported(t *testing.T) {
	require.Contains(t, violation("policy", "internal/sidecar"), "goes up")
	require.Contains(t, violation("internal/decide/quota", "internal/http1"), "goes up")
	require.Contains(t, violation("internal/http1", "internal/thrift"), "goes up")
	require.Contains(t, violation("internal/lab/load", "internal/sidecar"), "is forbidden")
	require.Contains(t, violation("internal/unlisted", "policy"), "no layer")
	require.Empty(t, violation("internal/netio/virtual", "internal/netio"))

	f, err := parser.ParseFile(token.NewFileSet(), "x.go", `package x
import ("net"; "net/http"; "net/netip"; "os"; "time")
func f() { go f(); _ = time.Now(); _ = time.Second }`, 0)
	require.NoError(t, err)
	require.Equal(t, []string{"imports net", "imports net/http", "imports os", "starts a goroutine", "asks time.Now"}, impurities(f))
}
