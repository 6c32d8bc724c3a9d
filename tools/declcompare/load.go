package main

import (
	"fmt"
	"go/ast"
	"go/token"
	"path/filepath"
	"sort"
	"strings"

	"golang.org/x/tools/go/packages"
)

const loadMode = packages.NeedName | packages.NeedFiles | packages.NeedSyntax |
	packages.NeedTypes | packages.NeedTypesInfo | packages.NeedImports

// declarations maps the shape of a declaration to the places that have it.
type declarations map[string][]string

func (d declarations) count() int {
	n := 0
	for _, places := range d {
		n += len(places)
	}
	return n
}

// load reads all packages of the module in dir with their tests. Generated
// protobuf code is left out.
func load(dir string) (declarations, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return nil, err
	}
	fset := token.NewFileSet()
	pkgs, err := packages.Load(&packages.Config{Dir: dir, Fset: fset, Tests: true, Mode: loadMode}, "./...")
	if err != nil {
		return nil, err
	}
	// A package's test variant holds all its files, so the larger one goes first.
	sort.SliceStable(pkgs, func(i, k int) bool { return len(pkgs[i].Syntax) > len(pkgs[k].Syntax) })
	out := declarations{}
	seen := map[string]bool{}
	for _, p := range pkgs {
		if len(p.Errors) > 0 {
			return nil, fmt.Errorf("%s: %w", p.PkgPath, p.Errors[0])
		}
		for _, file := range p.Syntax {
			name := fset.Position(file.Pos()).Filename
			if seen[name] || !strings.HasPrefix(name, dir) || strings.HasSuffix(name, ".pb.go") {
				continue
			}
			seen[name] = true
			out.addFile(p, fset, dir, file)
		}
	}
	return out, nil
}

func (d declarations) addFile(p *packages.Package, fset *token.FileSet, dir string, file *ast.File) {
	add := func(kind string, node ast.Node) {
		position := fset.Position(node.Pos())
		path, _ := filepath.Rel(dir, position.Filename)
		shape := newShaper(p, fset).shapeOf(kind, node)
		d[shape] = append(d[shape], fmt.Sprintf("%s:%d", path, position.Line))
	}
	for _, decl := range file.Decls {
		group, ok := decl.(*ast.GenDecl)
		if !ok {
			add("func", decl)
			continue
		}
		for _, spec := range group.Specs {
			if _, ok := spec.(*ast.ImportSpec); !ok {
				add(group.Tok.String(), spec)
			}
		}
	}
}
