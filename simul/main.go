// Command simul plays load patterns against the decisions of edged, over simulated time.
package main

import (
	"os"

	"rosemarygrade.dev/simul/cmds"
)

func main() {
	os.Exit(cmds.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
