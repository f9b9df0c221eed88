// Command soak runs edged processes, injects seeded faults, and checks the responses that callers got against the requests that
// the backend servers ran.
package main

import (
	"os"

	"rosemarygrade.dev/soak/cmds"
)

func main() {
	os.Exit(cmds.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
