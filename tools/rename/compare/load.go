package main

import (
	"fmt"
	"go/ast"
	"go/token"
	"go/types"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"golang.org/x/tools/go/packages"
)

// loadMode selects what the comparison needs of each package.
const loadMode = packages.NeedName | packages.NeedFiles | packages.NeedSyntax | packages.NeedTypes |
	packages.NeedTypesInfo | packages.NeedDeps | packages.NeedImports

// LoadError reports a tree that does not compile.
type LoadError struct {
	Root  string
	Cause error
}

// Error names the tree and the cause.
func (e *LoadError) Error() string { return e.Root + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LoadError) Unwrap() error { return e.Cause }

// declaration is a top-level declaration, or one spec of a block of them.
type declaration struct {
	// position is its file and line with its first line of source.
	position string
	// shape is its folder and its tokens, with the module's own objects numbered.
	shape string
	// objects are the module's own objects that it mentions, in order.
	objects []string
}

// tree is the module that is being loaded.
type tree struct {
	root       string
	files      *token.FileSet
	ignoreText bool
}

// load returns the declarations of the module at root, tests included.
func load(root string, ignoreText bool) ([]*declaration, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, &LoadError{Root: root, Cause: err}
	}
	t := &tree{root: root, files: token.NewFileSet(), ignoreText: ignoreText}
	all, err := packages.Load(&packages.Config{Mode: loadMode, Dir: root, Tests: true, Fset: t.files}, "./...")
	if err != nil {
		return nil, &LoadError{Root: root, Cause: err}
	}
	// Of the variants of a package, the one with its tests has the larger ID.
	sort.Slice(all, func(i, j int) bool { return all[i].ID > all[j].ID })
	var list []*declaration
	seen := map[string]bool{}
	for _, p := range all {
		if len(p.Errors) > 0 {
			return nil, &LoadError{Root: root, Cause: p.Errors[0]}
		}
		for _, f := range p.Syntax {
			path := t.files.Position(f.Pos()).Filename
			if seen[path] || !t.compares(path) {
				continue
			}
			seen[path] = true
			source, err := os.ReadFile(path)
			if err != nil {
				return nil, &LoadError{Root: root, Cause: err}
			}
			list = append(list, t.declarations(f, source, t.objects(path, p.TypesInfo))...)
		}
	}
	return list, nil
}

// compares reports whether the file belongs to the module and is not generated.
func (t *tree) compares(path string) bool {
	return strings.HasPrefix(path, t.root+"/") && !strings.HasSuffix(path, ".pb.go") && !strings.HasSuffix(path, "_string.go")
}

// objects returns the objects of a file's identifiers by their offsets in bytes.
func (t *tree) objects(path string, info *types.Info) map[int]types.Object {
	found := map[int]types.Object{}
	for _, group := range []map[*ast.Ident]types.Object{info.Uses, info.Defs} {
		for identifier, object := range group {
			at := t.files.Position(identifier.Pos())
			if object != nil && at.Filename == path {
				found[at.Offset] = object
			}
		}
	}
	return found
}

// declarations splits a file. A block with iota stays whole, since its values depend on
// their places; imports are skipped.
func (t *tree) declarations(f *ast.File, source []byte, objects map[int]types.Object) []*declaration {
	var list []*declaration
	for _, d := range f.Decls {
		group, isGroup := d.(*ast.GenDecl)
		if !isGroup {
			list = append(list, t.declaration("", d, source, objects))
			continue
		}
		if group.Tok == token.IMPORT {
			continue
		}
		if strings.Contains(string(t.source(group, source)), "iota") {
			list = append(list, t.declaration("", d, source, objects))
			continue
		}
		for _, spec := range group.Specs {
			list = append(list, t.declaration(group.Tok.String(), spec, source, objects))
		}
	}
	return list
}

// source returns the source of a node.
func (t *tree) source(n ast.Node, source []byte) []byte {
	return source[t.files.Position(n.Pos()).Offset:t.files.Position(n.End()).Offset]
}

// declaration reduces a node to its shape and its objects.
func (t *tree) declaration(kind string, n ast.Node, source []byte, objects map[int]types.Object) *declaration {
	at := t.files.Position(n.Pos())
	part := t.source(n, source)
	path := t.relative(at.Filename)
	head, _, _ := strings.Cut(string(part), "\n")
	tokens, mentioned := t.reduce(part, at.Offset, objects)
	return &declaration{
		position: fmt.Sprintf("%s:%d: %s", path, at.Line, head),
		shape:    filepath.Dir(path) + " " + kind + " " + tokens,
		objects:  mentioned,
	}
}

// relative returns a path of the module from its root.
func (t *tree) relative(path string) string { return strings.TrimPrefix(path, t.root+"/") }
