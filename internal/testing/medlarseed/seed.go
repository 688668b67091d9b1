// Package medlarseed fixes the seed of property-based tests, so that CI runs are reproducible.
//
// # Usage
//
//	func TestMain(m *testing.M) { medlarseed.Main(m, medlarseed.Flags{"rapid.seed": "20260301"}) }
package medlarseed

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Flags maps names of rapid flags to values.
type Flags map[string]string

// Main runs the tests with the given flag values, except for flags that the command line sets to another value than their
// default. It disables the files that rapid writes about failures.
func Main(m *testing.M, values Flags) {
	flag.Parse()
	for name, value := range values {
		set(name, value)
	}
	set("rapid.nofailfile", "true")
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

func set(name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(fmt.Sprintf("set flag %s to %q: %v", name, value, err))
	}
}
