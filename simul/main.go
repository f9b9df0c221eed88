// Command simul runs edged's request decisions against simulated load.
package main

import (
	"os"

	"rosemarygrade.dev/simul/cmds"
)

func main() {
	os.Exit(cmds.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
