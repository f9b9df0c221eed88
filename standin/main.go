// Command standin runs fake versions of the systems around rosemarygrade: the platform, backend servers and callers.
package main

import (
	"os"

	"rosemarygrade.dev/standin/cmds"
)

func main() {
	os.Exit(cmds.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
