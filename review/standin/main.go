// Command standin plays the platform, the targets and the clients of one case of the review against processes of edged.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// setup is what a case gets.
type setup struct {
	rec     *record
	program string
	dir     string
	// trouble is false where the case runs without its disruption.
	trouble bool
}

// cases holds the cases by name. A case reports whether the rule was broken.
var cases = map[string]func(s setup) (bool, error){
	"cold-soon": runColdSoon,
	"cold-busy": runColdBusy,
	"limits":    runLimits,
	"memory":    runMemory,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/edged", "program under test")
	out := flag.String("record", "record.txt", "file that gets the record")
	flag.Parse()
	os.Exit(play(*name, *program, *out))
}

func play(name, program, out string) int {
	f, found := cases[name]
	if !found {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	rec, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		rec.say("could not run: %v", err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	broken, err := f(setup{rec: rec, program: program, dir: dir, trouble: os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("RULE BROKEN")
		return exitBroken
	default:
		rec.say("rule held")
		return exitHeld
	}
}
