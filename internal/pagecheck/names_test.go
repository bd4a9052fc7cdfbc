package pagecheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// root is the path of the repository's root.
var root = filepath.Join("..", "..")

// declared holds the names that the repository's Go code declares: as pkg.Name, as pkg.Type.Member for
// methods and fields, and tests also without their package.
type declared struct {
	packages map[string]bool
	names    map[string]bool
}

// readDeclared parses all Go code and returns the names that it declares.
func readDeclared(t *testing.T) declared {
	t.Helper()
	d := declared{packages: map[string]bool{}, names: map[string]bool{}}
	forEachGoFile(t, func(_ string, file *ast.File) {
		pkg := strings.TrimSuffix(file.Name.Name, "_test")
		d.packages[pkg] = true
		for _, declaration := range file.Decls {
			d.add(pkg, declaration)
		}
	})
	return d
}

// forEachGoFile calls fn with the path and the syntax tree of each Go file in cmd, internal and tools.
func forEachGoFile(t *testing.T, fn func(path string, file *ast.File)) {
	t.Helper()
	files := token.NewFileSet()
	for _, directory := range []string{"cmd", "internal", "tools"} {
		err := filepath.WalkDir(filepath.Join(root, directory), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
			if err == nil {
				fn(path, file)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// add adds the names of a top-level declaration of package pkg.
func (d *declared) add(pkg string, declaration ast.Decl) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		name := declaration.Name.Name
		if declaration.Recv == nil {
			d.names[pkg+"."+name] = true
			d.names[name] = strings.HasPrefix(name, "Test")
			return
		}
		d.names[pkg+"."+receiver(declaration)+"."+name] = true
	case *ast.GenDecl:
		for _, spec := range declaration.Specs {
			d.addSpec(pkg, spec)
		}
	}
}

// addSpec adds the names that a spec declares, and the fields or methods of a struct or interface type.
func (d *declared) addSpec(pkg string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			d.names[pkg+"."+name.Name] = true
		}
	case *ast.TypeSpec:
		d.names[pkg+"."+spec.Name.Name] = true
		var members *ast.FieldList
		switch t := spec.Type.(type) {
		case *ast.StructType:
			members = t.Fields
		case *ast.InterfaceType:
			members = t.Methods
		default:
			return
		}
		for _, member := range members.List {
			for _, name := range member.Names {
				d.names[pkg+"."+spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}

// receiver returns the name of a method's receiver type; empty if the type is generic.
func receiver(method *ast.FuncDecl) string {
	expression := method.Recv.List[0].Type
	if star, ok := expression.(*ast.StarExpr); ok {
		expression = star.X
	}
	if name, ok := expression.(*ast.Ident); ok {
		return name.Name
	}
	return ""
}

var (
	quoted   = regexp.MustCompile("`([^`]+)`")
	goName   = regexp.MustCompile(`^[a-z]+(\.[A-Za-z]+)+$`)
	testName = regexp.MustCompile(`^Test[A-Z]\w*$`)
	repoPath = regexp.MustCompile(`^(internal|cmd|tools|docs|deploy)/[\w./-]+$`)
)

// checkNames fails the test for each name in backquotes on a page that doesn't exist, and returns how
// many names it checked. It checks pkg.Name for packages of the repository, names of tests, and paths
// from the repository's root.
func checkNames(t *testing.T, page string, d declared) (checked int) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, page))
	if err != nil {
		t.Fatal(err)
	}
	for _, found := range quoted.FindAllStringSubmatch(string(text), -1) {
		name := found[1]
		pkg, _, _ := strings.Cut(name, ".")
		switch {
		case repoPath.MatchString(name):
			if _, err := os.Stat(filepath.Join(root, name)); err != nil {
				t.Errorf("%s: path %s doesn't exist", page, name)
			}
		case testName.MatchString(name):
			if !d.names[name] {
				t.Errorf("%s: test %s doesn't exist", page, name)
			}
		case goName.MatchString(name) && d.packages[pkg] && !strings.HasSuffix(name, ".go"):
			if !d.names[name] {
				t.Errorf("%s: %s isn't declared", page, name)
			}
		default:
			continue
		}
		checked++
	}
	return checked
}

// Every name on the pages that describe the code exists. Otherwise a rename that leaves out the pages
// sends readers to names that are no longer there.
func TestNamesOnPagesExist(t *testing.T) {
	d := readDeclared(t)
	for page, least := range map[string]int{
		"docs/architecture.md": 60, "docs/glossary.md": 40, "docs/design.md": 80, "docs/fault-scenarios.md": 1,
		"docs/standby.md": 3, "docs/recovery.md": 3, "docs/admission.md": 3, "docs/draining.md": 3, "README.md": 10,
	} {
		if checked := checkNames(t, page, d); checked < least {
			t.Errorf("%s: found only %d names to check", page, checked)
		}
	}
}
