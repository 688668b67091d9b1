package medlarupstream

import (
	"testing"
	"time"

	"medlarwheel/internal/testing/medlarseed"
)

var testStart = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return testStart.Add(d) }

const ms = time.Millisecond

// TestMain fixes the seed of the random tests unless the command line names one.
func TestMain(m *testing.M) { medlarseed.Main(m, medlarseed.Flags{"rapid.seed": "11"}) }
