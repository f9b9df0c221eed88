// Command steerd keeps configuration and membership and answers look-ups.
package main

import (
	"os"

	"rosemarygrade.dev/steerd/cmds"
)

func main() {
	os.Exit(cmds.Execute(os.Args[1:], os.Stderr))
}
