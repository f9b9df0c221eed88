// Command steerd distributes the configuration and the membership, and answers callers' look-ups. It
// handles no requests: entryd does.
package main

import (
	"os"

	"rosemarygrade.dev/steerd/cmds"
)

func main() {
	os.Exit(cmds.Execute(os.Args[1:], os.Stderr))
}
