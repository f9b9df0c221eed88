// Command rosectl is the command line with which operators write and read the platform's objects.
package main

import (
	"os"

	"rosemarygrade.dev/rosectl/cmds"
)

func main() {
	os.Exit(cmds.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
