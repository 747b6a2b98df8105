// Compare compares two trees of a Go module by what the compiler sees, so that a
// change of names, comments and layout can be told from a change of behaviour.
//
// It pairs the top-level declarations of the trees. Every object of the old tree (a
// type, function, method, field, constant or variable) must stand for exactly one
// object of the new tree, and that one in all declarations. A swap of two fields is
// found therefore, and one name that became two, or two that became one, are not
// reported. Declarations of generated files are skipped, uses of them are compared by
// name without regard to renamed message types.
//
//	cd tools/rename && go run ./compare [-text] OLD NEW
//
// Declarations without a counterpart are printed. The exit status is 1 if there are
// any, and 2 if a tree could not be loaded.
package main

import (
	"flag"
	"fmt"
	"os"
)

// ignoreText is set if string literals may differ.
var ignoreText = flag.Bool("text", false, "ignore the contents of string literals")

func main() {
	flag.Parse()
	if flag.NArg() != 2 {
		fmt.Fprintln(os.Stderr, "usage: compare [-text] OLD NEW")
		os.Exit(2)
	}
	before, err := load(flag.Arg(0), *ignoreText)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	after, err := load(flag.Arg(1), *ignoreText)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	p := newPairing()
	for _, d := range p.pair(before, after) {
		fmt.Println("no counterpart:", d.position)
	}
	fmt.Printf("%d declarations before, %d after, %d objects paired, %d declarations without a counterpart\n",
		len(before), len(after), len(p.newOf), p.unpaired)
	if p.unpaired > 0 {
		os.Exit(1)
	}
}
