package medlarrecover

import (
	"bytes"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwheel/internal/operation/medlarmetrics"
)

func panicHere() { panic("a row that nobody expected") }

// TestPanicIsLoggedOnceWithOriginalStack guards against a panic of another goroutine that is logged with the stack of
// the goroutine which waited for it, and against an error of the work that is taken for a panic.
func TestPanicIsLoggedOnceWithOriginalStack(t *testing.T) {
	var out bytes.Buffer
	err := RunAndLog(zerolog.New(&out), medlarmetrics.New(), "follow", func() error {
		inner := make(chan error)
		go func() { inner <- Run("read", func() error { panicHere(); return nil }) }()
		panic(<-inner)
	})
	if !IsPanic(err) || !strings.Contains(err.Error(), "follow panicked: a row that nobody expected") {
		t.Errorf("got error %v, want the panic under the name of the work", err)
	}
	if line := out.String(); !strings.Contains(line, "panicHere") || !strings.Contains(line, `"part":"follow"`) {
		t.Errorf("logged %s, want the stack of panicHere and part follow", line)
	}
	out.Reset()
	if again := RunAndLog(zerolog.New(&out), medlarmetrics.New(), "owner", func() error { return err }); !IsPanic(again) || out.Len() > 0 {
		t.Errorf("a panic returned as an error came back as %v, want a panic; log %s, want nothing",
			again, out.String())
	}
	failed := errors.New("refused")
	if err := RunAndLog(zerolog.New(&out), medlarmetrics.New(), "follow", func() error { return failed }); !errors.Is(err, failed) || IsPanic(err) || out.Len() > 0 {
		t.Errorf("got error %v, want the error of the work; log %s, want nothing",
			err, out.String())
	}
}
