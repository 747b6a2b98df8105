package main

import (
	"fmt"
	"go/scanner"
	"go/token"
	"go/types"
	"strings"
)

// layoutTokens are tokens that gofumpt adds where it breaks a line.
var layoutTokens = strings.NewReplacer("; } ", "} ", ", } ", "} ", ", ) ", ") ", ", ] ", "] ")

// reduce returns the tokens of a part of a file that begins at an offset in bytes, with
// the module's own objects numbered in order of appearance, and these objects.
func (t *tree) reduce(part []byte, offset int, objects map[int]types.Object) (tokens string, mentioned []string) {
	files := token.NewFileSet()
	file := files.AddFile("", files.Base(), len(part))
	var s scanner.Scanner
	s.Init(file, part, nil, 0)
	var b strings.Builder
	numbers := map[string]int{}
	for {
		at, kind, literal := s.Scan()
		switch {
		case kind == token.EOF:
			return layoutTokens.Replace(b.String()), mentioned
		case kind == token.IDENT:
			name, own := t.identity(objects[offset+file.Offset(at)], literal)
			if own {
				if _, known := numbers[name]; !known {
					numbers[name] = len(numbers)
				}
				mentioned = append(mentioned, name)
				name = fmt.Sprint("object", numbers[name])
			}
			b.WriteString(name)
		case kind == token.STRING && t.ignoreText:
			b.WriteString("text")
		case kind != token.SEMICOLON && literal != "":
			b.WriteString(literal)
		default:
			b.WriteString(kind.String())
		}
		b.WriteByte(' ')
	}
}

// identity returns what an identifier stands for, and whether that is an object of the
// module itself, whose name may differ between the trees. An identifier without an
// object is the symbol of a type switch or the name of a package clause.
func (t *tree) identity(o types.Object, literal string) (name string, own bool) {
	switch v := o.(type) {
	case nil:
		return "unresolved", false
	case *types.PkgName:
		return "package " + v.Imported().Path(), false
	case *types.Var:
		o = v.Origin()
	case *types.Func:
		o = v.Origin()
	}
	if o.Pkg() == nil || !o.Pos().IsValid() {
		return "predeclared " + literal, false
	}
	at := t.files.Position(o.Pos())
	switch {
	case !strings.HasPrefix(at.Filename, t.root+"/"):
		return o.Pkg().Path() + "." + literal, false
	case strings.HasSuffix(at.Filename, ".pb.go"):
		return fmt.Sprintf("generated %T %s", o, o.Name()), true
	}
	return fmt.Sprintf("%s:%d:%d", t.relative(at.Filename), at.Line, at.Column), true
}
