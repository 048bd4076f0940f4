package declaration_test

import "flag"

// A fixed seed gives the same verdict every time; set another one with -rapid.seed.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}
