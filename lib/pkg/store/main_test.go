package store_test

import "flag"

// init sets a fixed seed, so that every run has the same result; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }
