package medlarlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedOutput blocks every write until it is opened.
type blockedOutput struct {
	mu   sync.Mutex
	open chan struct{}
	data bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *blockedOutput) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// TestWriteDoesNotBlockOnSlowOutput guards against a scheduler that stops because nobody reads its log, and against lines that are
// lost without a trace.
func TestWriteDoesNotBlockOnSlowOutput(t *testing.T) {
	out := &blockedOutput{open: make(chan struct{})}
	w := NewWriter(out, Config{BufferBytes: 100, LinesPerSecond: 1000, FlushDelay: time.Millisecond})
	line := []byte(strings.Repeat("x", 39) + "\n")
	for range 50 {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	close(out.open)
	w.Close()
	if _, err := w.Write(line); err != nil {
		t.Fatal(err)
	}
	w.Close()
	if text := out.text(); !strings.Contains(text, "log-lines-dropped") {
		t.Errorf("dropped lines are not counted: %q", text)
	}
}

// TestWriterLimitsLinesPerSecond guards against a flood of lines.
func TestWriterLimitsLinesPerSecond(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out, Config{BufferBytes: 1 << 20, LinesPerSecond: 10, FlushDelay: time.Hour})
	for range 100 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	w.Close()
	// The writes may fall into two seconds.
	if n := strings.Count(out.String(), "line\n"); n > 20 {
		t.Errorf("%d lines were written, want at most 10 a second", n)
	}
}
