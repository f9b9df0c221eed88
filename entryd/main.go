// Command entryd accepts callers' requests and routes them to backend servers.
package main

import (
	"os"

	"rosemarygrade.dev/entryd/cmds"
)

func main() {
	os.Exit(cmds.Execute(os.Args[1:], os.Stderr))
}
