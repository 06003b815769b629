package internal

import (
	"go/ast"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	markdownLink = regexp.MustCompile(`\]\(([^()\s]+)\)`)
	headingLine  = regexp.MustCompile("(?m)^#+ +(.*)$")
	codeBlock    = regexp.MustCompile("(?ms)^```.*?^```|^    .*?$")
	codeSpan     = regexp.MustCompile("`([^`\n]+)`")
	slugDropped  = regexp.MustCompile(`[^\p{L}\p{N}\- _]`)
	packagePath  = regexp.MustCompile(`^(internal|cmd)/[a-z0-9/-]+$|^policy$`)
	qualified    = regexp.MustCompile(`^([a-z][a-z0-9]*)\.([A-Za-z]\w*(?:\.[A-Za-z]\w*)?)$`)
)

// pages returns the Markdown files of the project with their texts, by path from the root.
func pages(t *testing.T) map[string]string {
	t.Helper()
	all := map[string]string{}
	err := filepath.WalkDir("..", func(p string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if name := d.Name(); d.IsDir() && p != ".." && (strings.HasPrefix(name, ".") || name == "journal" || name == "bin" || name == "target") {
			return filepath.SkipDir
		}
		if strings.HasSuffix(p, ".md") {
			text, err := os.ReadFile(p)
			all[filepath.ToSlash(strings.TrimPrefix(p, ".."+string(filepath.Separator)))] = string(text)
			return err
		}
		return nil
	})
	require.NoError(t, err)
	return all
}

// slugs returns the anchors of a page's headings, as they are shown by the usual hosts of Markdown.
func slugs(text string) map[string]bool {
	all := map[string]bool{}
	for _, heading := range headingLine.FindAllStringSubmatch(text, -1) {
		plain := markdownLink.ReplaceAllString(strings.ReplaceAll(heading[1], "[", ""), "")
		all[strings.ReplaceAll(slugDropped.ReplaceAllString(strings.ToLower(strings.TrimSpace(plain)), ""), " ", "-")] = true
	}
	return all
}

// brokenLinks returns the links of a page that lead to no file or no heading of the project.
func brokenLinks(page string, texts map[string]string) (broken []string) {
	for _, match := range markdownLink.FindAllStringSubmatch(codeBlock.ReplaceAllString(texts[page], ""), -1) {
		link, anchor, anchored := strings.Cut(match[1], "#")
		if strings.Contains(link, "://") {
			continue
		}
		target := page
		if link != "" {
			target = path.Join(path.Dir(page), link)
		}
		if _, err := os.Stat(filepath.Join("..", target)); err != nil {
			broken = append(broken, page+": "+match[1]+": no such file")
		} else if anchored && !slugs(texts[target])[anchor] {
			broken = append(broken, page+": "+match[1]+": no such heading")
		}
	}
	return broken
}

func TestLinksOfPagesResolve(t *testing.T) {
	texts := pages(t)
	require.Greater(t, len(texts), 20, "the walk found the pages")
	var broken []string
	for page := range texts {
		broken = append(broken, brokenLinks(page, texts)...)
	}
	require.Empty(t, broken)
}

// declarations returns what each package declares, by its path: functions, types, methods and fields as Type.Name, constants, variables.
func declarations(t *testing.T) map[string]map[string]bool {
	t.Helper()
	all := map[string]map[string]bool{}
	walkSources(t, func(pkg, _ string, f *ast.File) {
		names := all[pkg]
		if names == nil {
			names = map[string]bool{}
			all[pkg] = names
		}
		for _, decl := range f.Decls {
			switch d := decl.(type) {
			case *ast.FuncDecl:
				names[receiverPrefix(d)+d.Name.Name] = true
			case *ast.GenDecl:
				for _, spec := range d.Specs {
					declareSpec(names, spec)
				}
			}
		}
	})
	return all
}

// receiverPrefix returns the type of a method with a dot, "" for a function.
func receiverPrefix(d *ast.FuncDecl) string {
	if d.Recv == nil {
		return ""
	}
	receiver := d.Recv.List[0].Type
	if star, ok := receiver.(*ast.StarExpr); ok {
		receiver = star.X
	}
	if index, ok := receiver.(*ast.IndexExpr); ok {
		receiver = index.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

func declareSpec(names map[string]bool, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			names[name.Name] = true
		}
	case *ast.TypeSpec:
		names[s.Name.Name] = true
		var fields *ast.FieldList
		switch of := s.Type.(type) {
		case *ast.StructType:
			fields = of.Fields
		case *ast.InterfaceType:
			fields = of.Methods
		default:
			return
		}
		for _, field := range fields.List {
			for _, name := range field.Names {
				names[s.Name.Name+"."+name.Name] = true
			}
		}
	}
}

// missingNames returns the packages and the qualified names in a page's code spans that the program doesn't declare.
func missingNames(text string, declared map[string]map[string]bool) (missing []string, found int) {
	byName := map[string][]string{}
	for pkg := range declared {
		byName[path.Base(pkg)] = append(byName[path.Base(pkg)], pkg)
	}
	for _, span := range codeSpan.FindAllStringSubmatch(codeBlock.ReplaceAllString(text, ""), -1) {
		switch parts := qualified.FindStringSubmatch(span[1]); {
		case packagePath.MatchString(span[1]):
			found++
			if info, err := os.Stat(filepath.Join("..", span[1])); err != nil || !info.IsDir() {
				missing = append(missing, span[1]+": no such package")
			}
		case parts != nil && len(byName[parts[1]]) > 0:
			found++
			declaredThere := false
			for _, pkg := range byName[parts[1]] {
				declaredThere = declaredThere || declared[pkg][parts[2]]
			}
			if !declaredThere {
				missing = append(missing, span[1]+": not declared")
			}
		case parts != nil && !strings.Contains(span[1], ".md") && parts[1] != "deploy":
			missing = append(missing, span[1]+": no package of that name")
		}
	}
	return missing, found
}

// docs/architecture.md names packages and functions for each step; a rename must not leave the page behind.
func TestArchitectureNamesExist(t *testing.T) {
	declared := declarations(t)
	for _, page := range []string{"docs/architecture.md", "docs/glossary.md", "docs/design/control-guarantees.md"} {
		text, err := os.ReadFile(filepath.Join("..", page))
		require.NoError(t, err)
		missing, found := missingNames(string(text), declared)
		require.Empty(t, missing, page)
		require.Greater(t, found, 20, page)
	}
}

// The tests above pass on pages without faults; this one shows that faults are reported.
func TestFaultsOfPagesAreReported(t *testing.T) {
	texts := map[string]string{"docs/lab.md": "# A heading, of sorts\n[a](lab.md#a-heading-of-sorts) [b](none.md) [c](#none) [d](https://a.example/)\n"}
	require.Equal(t, []string{"docs/lab.md: none.md: no such file", "docs/lab.md: #none: no such heading"}, brokenLinks("docs/lab.md", texts))

	declared := map[string]map[string]bool{"internal/gossip": {"Node.State": true}}
	missing, found := missingNames("`internal/gossip` `internal/none` `gossip.Node.State` `gossip.Node.None` `none.Node` `If-Match`", declared)
	require.Equal(t, []string{"internal/none: no such package", "gossip.Node.None: not declared", "none.Node: no package of that name"}, missing)
	require.Equal(t, 4, found)
}
