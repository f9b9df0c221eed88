// Command soak runs real edged processes under faults and checks what callers and backend servers saw.
package main

import (
	"os"

	"rosemarygrade.dev/soak/cmds"
)

func main() {
	os.Exit(cmds.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
