// Command edged serves callers' requests and look-ups on a platform where each host decides by itself where to send them.
package main

import (
	"os"

	"rosemarygrade.dev/edged/cmds"
)

func main() {
	os.Exit(cmds.Execute(os.Args[1:], os.Stderr))
}
