package main

import (
	"fmt"
	"go/ast"
	"go/token"
	"go/types"
	"reflect"
	"strings"

	"golang.org/x/tools/go/packages"
)

const modulePath = "github.com/anvilcourse"

// shaper writes the syntax of one declaration without names and comments.
type shaper struct {
	pkg      *packages.Package
	fset     *token.FileSet
	text     strings.Builder
	ordinals map[token.Position]int
}

func newShaper(p *packages.Package, fset *token.FileSet) *shaper {
	return &shaper{pkg: p, fset: fset, ordinals: map[token.Position]int{}}
}

func (s *shaper) shapeOf(kind string, node ast.Node) string {
	s.text.WriteString(kind)
	s.write(reflect.ValueOf(node))
	return s.text.String()
}

func (s *shaper) write(v reflect.Value) {
	switch v.Kind() {
	case reflect.Interface, reflect.Pointer:
		s.writeNode(v)
	case reflect.Struct:
		s.text.WriteString(" " + v.Type().Name() + "(")
		for i := range v.NumField() {
			s.writeField(v.Type().Field(i), v.Field(i))
		}
		s.text.WriteString(")")
	case reflect.Slice:
		s.text.WriteString("[")
		for i := range v.Len() {
			s.write(v.Index(i))
		}
		s.text.WriteString("]")
	case reflect.Int, reflect.Bool, reflect.String:
		fmt.Fprintf(&s.text, " %v", v.Interface())
	}
}

// writeField leaves positions out, but for those that tell "..." and "=" apart
// from their absence.
func (s *shaper) writeField(field reflect.StructField, v reflect.Value) {
	if field.Type != reflect.TypeOf(token.NoPos) {
		s.write(v)
		return
	}
	if field.Name == "Ellipsis" || field.Name == "Assign" {
		fmt.Fprintf(&s.text, " %v", v.Int() != 0)
	}
}

func (s *shaper) writeNode(v reflect.Value) {
	switch n := v.Interface().(type) {
	case *ast.CommentGroup, *ast.Object, *ast.Scope:
	case *ast.Ident:
		if n != nil {
			s.writeIdent(n)
		}
	case *ast.BasicLit:
		if n != nil {
			s.writeLiteral(n)
		}
	default:
		if v.IsNil() {
			s.text.WriteString(" nil")
			return
		}
		s.write(v.Elem())
	}
}

// writeIdent writes the ordinal of an object of this module, and the name of
// any other object.
func (s *shaper) writeIdent(id *ast.Ident) {
	object := s.pkg.TypesInfo.ObjectOf(id)
	switch o := object.(type) {
	case nil:
		s.text.WriteString(" unresolved")
		return
	case *types.PkgName:
		s.text.WriteString(" package")
		return
	case *types.Var:
		object = o.Origin()
	case *types.Func:
		object = o.Origin()
	}
	if object.Pkg() == nil || !strings.HasPrefix(object.Pkg().Path(), modulePath) {
		s.text.WriteString(" " + object.String())
		return
	}
	place := s.fset.Position(object.Pos())
	if _, ok := s.ordinals[place]; !ok {
		s.ordinals[place] = len(s.ordinals)
	}
	fmt.Fprintf(&s.text, " #%d", s.ordinals[place])
}

func (s *shaper) writeLiteral(literal *ast.BasicLit) {
	isTag := strings.HasPrefix(literal.Value, "`") && strings.Contains(literal.Value, ":\"")
	if literal.Kind == token.STRING && !isTag {
		s.text.WriteString(" string")
		return
	}
	s.text.WriteString(" " + literal.Value)
}
