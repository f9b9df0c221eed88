// Command rosectl is the operators' command line.
package main

import (
	"os"

	"rosemarygrade.dev/rosectl/cmds"
)

func main() {
	os.Exit(cmds.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
