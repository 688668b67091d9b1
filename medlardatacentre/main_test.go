package medlardatacentre_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

var update = flag.Bool("update", false, "re-record golden files")

// TestMain fixes the seed of the property tests unless the command line sets one, so that CI runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("20260117")
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
