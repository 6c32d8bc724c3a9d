// Command declcompare compares the declarations of two trees of a Go module
// and ignores names, comments and the text of string literals.
//
//	go run -C tools ./declcompare OLD_TREE NEW_TREE
//
// Every identifier is replaced by the ordinal of the object that it resolves
// to within its declaration. A rename therefore changes nothing, and a name
// that is shadowed or resolves to another object is listed. Struct tags and
// all literals but strings are compared as they stand. It prints the
// declarations that only one tree has. The exit status is 1 if there are any,
// 2 if a tree cannot be read or does not type-check.
package main

import (
	"fmt"
	"os"
	"sort"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: declcompare OLD_TREE NEW_TREE")
		os.Exit(2)
	}
	trees := make([]declarations, 2)
	for i, dir := range os.Args[1:] {
		var err error
		if trees[i], err = load(dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	differing := append(missing("-", trees[0], trees[1]), missing("+", trees[1], trees[0])...)
	sort.Strings(differing)
	for _, line := range differing {
		fmt.Println(line)
	}
	fmt.Printf("%d and %d declarations, %d differ\n", trees[0].count(), trees[1].count(), len(differing))
	if len(differing) > 0 {
		os.Exit(1)
	}
}

// missing returns a line for each shape that a has more often than b.
func missing(mark string, a, b declarations) []string {
	var lines []string
	for shape, places := range a {
		if n := len(places) - len(b[shape]); n > 0 {
			lines = append(lines, fmt.Sprintf("%s %s (%d)", mark, places[0], n))
		}
	}
	return lines
}
