package medlarupstream

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"
)

var testStart = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return testStart.Add(d) }

const ms = time.Millisecond

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
