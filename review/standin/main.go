// Command standin plays the cases of the review: it starts routers with the command of the deploy file, and stand-ins of
// clients, model servers and the platform around them, and checks one rule on what these saw.
//
//	standin CASE ROOT RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"sort"
)

// scenario plays a case in a temporary folder. trouble is false if the disruption is to be left out.
type scenario func(root, dir string, rec *record, trouble bool) error

var scenarios = map[string]scenario{
	// The cases.
	"empty-lines":       emptyLines,
	"moved-cell":        movedCell,
	"unknown-functions": unknownFunctions,
	// The entry of KNOWN-RED.txt, shown but not made a case.
	"slow-channel": slowChannel,
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		var names []string
		for name := range scenarios {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD; cases:", names)
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, path string) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	trouble := os.Getenv("TROUBLE") != "0"
	rec := newRecord()
	err = scenarios[name](root, dir, rec, trouble)
	code, summary := 0, "the rule held"
	switch {
	case err != nil:
		code, summary = 2, "could not run: "+err.Error()
	case len(rec.violations) > 0:
		code, summary = 1, fmt.Sprintf("the rule was broken: %d violations", len(rec.violations))
	}
	summary = fmt.Sprintf("%s, trouble=%v: %s", name, trouble, summary)
	if err := rec.write(path, summary); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fmt.Println(summary)
	for i, violation := range rec.violations {
		if i == 5 {
			fmt.Println("  ...")
			break
		}
		fmt.Println(" ", violation)
	}
	return code
}
