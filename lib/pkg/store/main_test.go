package store_test

import "flag"

// init fixes the seed, so that every run gives the same verdict; -rapid.seed on the command line wins.
func init() { _ = flag.Set("rapid.seed", "20261204") }
