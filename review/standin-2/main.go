// Command standin2 plays one case of the review: it starts the platform's stand-ins and processes of the system on loopback addresses.
// Its exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(ctx context.Context, f *fleet, trouble bool) ([]string, error){
	"slow-upload":    slowUpload,
	"roll-cold":      rollCold,
	"evacuate-order": evacuateOrder,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		return 2
	}
	r, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	f, err := newFleet(args[1], dir, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, with the disruption: %v", args[0], trouble)
	signalled, ignore := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer ignore()
	ctx, cancel := context.WithTimeout(signalled, 110*time.Second)
	defer cancel()
	broken, err := cases[args[0]](ctx, f, trouble)
	if err == nil {
		// A case that was ended early says nothing.
		err = ctx.Err()
	}
	if err != nil {
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, b := range broken {
		r.add("broken: %s", b)
		fmt.Println(b)
	}
	if len(broken) > 0 {
		return 1
	}
	r.add("the rule held")
	return 0
}
