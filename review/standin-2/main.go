// Command standin-2 plays the cases of the second review: it starts real routers by the deploy file and stands in for
// their clients, model servers and command channel.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// Exit codes of a case.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

// cases holds the cases by the name of their folder. A case returns whether the rule was broken.
var cases = map[string]func(c *environment) (broken bool, err error){
	"6": cutOff,
	"7": coldReturn,
}

// environment is what a case works with.
type environment struct {
	root    string // of the repository
	folder  string // temporary, for configurations and logs
	record  *record
	trouble bool // false: without the disruption
}

func main() {
	runtime.LockOSThread() // the routers end with the thread that has started them
	os.Exit(run())
}

// run plays the case named by the first argument and writes record.txt into the folder named by the second.
func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER ROOT")
		return couldNotRun
	}
	temporary, err := os.MkdirTemp("", "topazfront-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(temporary)
	} else {
		fmt.Fprintln(os.Stderr, temporary)
	}
	record, err := openRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer record.close()
	c := &environment{root: os.Args[3], folder: temporary, record: record, trouble: os.Getenv("TROUBLE") != "0"}
	broken, err := cases[os.Args[1]](c)
	switch {
	case err != nil:
		record.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return couldNotRun
	case broken:
		fmt.Println("the rule was broken, see record.txt")
		return ruleBroken
	default:
		fmt.Println("the rule held")
		return ruleHeld
	}
}
