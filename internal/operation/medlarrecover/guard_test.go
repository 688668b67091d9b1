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

// TestPanicIsLoggedOnceWithOriginalStack guards against a panic on a goroutine of its own that is logged with the stack of the goroutine which
// has waited for it, and against an error of the work that is taken for a panic.
func TestPanicIsLoggedOnceWithOriginalStack(t *testing.T) {
	var out bytes.Buffer
	err := RunAndLog(zerolog.New(&out), medlarmetrics.New(), "follow", func() error {
		inner := make(chan error)
		go func() { inner <- Run("read", func() error { panicHere(); return nil }) }()
		panic(<-inner)
	})
	if !IsPanic(err) || !strings.Contains(err.Error(), "follow panicked: a row that nobody expected") {
		t.Errorf("error %v", err)
	}
	if line := out.String(); !strings.Contains(line, "panicHere") || !strings.Contains(line, `"part":"follow"`) {
		t.Errorf("logged %s", line)
	}
	out.Reset()
	if again := RunAndLog(zerolog.New(&out), medlarmetrics.New(), "owner", func() error { return err }); !IsPanic(again) || out.Len() > 0 {
		t.Errorf("the panic of a part ends as %v, and is logged again: %s", again, out.String())
	}
	failed := errors.New("refused")
	if err := RunAndLog(zerolog.New(&out), medlarmetrics.New(), "follow", func() error { return failed }); !errors.Is(err, failed) || IsPanic(err) || out.Len() > 0 {
		t.Errorf("error %v, logged %s", err, out.String())
	}
}
