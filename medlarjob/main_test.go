package medlarjob_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests unless the command line names one, so that runs in CI repeat.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20260304")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "150")
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
