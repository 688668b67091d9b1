// Package medlarseed fixes the seed of random tests, so that runs in CI repeat.
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

// Flags are values for flags of rapid by name.
type Flags map[string]string

// Main runs the tests with the values for the flags that the command line does not set. No files are written about failed
// tests.
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
		panic(fmt.Sprintf("flag %s: %v", name, err))
	}
}
