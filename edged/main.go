// Command edged serves callers and look-ups on a platform where each host decides for itself.
package main

import (
	"os"

	"rosemarygrade.dev/edged/cmds"
)

func main() {
	os.Exit(cmds.Execute(os.Args[1:], os.Stderr))
}
