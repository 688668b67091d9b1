// Package medlarlog writes structured log lines without ever blocking the caller, and bounds their number.
//
// Lines are collected in memory and written in the background. When the buffer is full, or more lines come in a second
// than allowed, lines are dropped; their number is logged as soon as there is room again.
//
// # Usage
//
//	writer := medlarlog.NewWriter(os.Stdout, medlarlog.DefaultConfig())
//	defer writer.Close()
//	log := zerolog.New(writer)
package medlarlog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Config bounds the volume of the log.
type Config struct {
	// MaxBytes is the size of the buffer of lines that are not yet written.
	MaxBytes int
	// LinesPerSecond bounds the lines that are taken.
	LinesPerSecond int
	// Delay is the longest time that a line waits for others before it is written.
	Delay time.Duration
}

// DefaultConfig returns bounds for a small instance: a quarter of a megabyte, and a few lines for each submission.
func DefaultConfig() Config {
	return Config{MaxBytes: 256 << 10, LinesPerSecond: 500, Delay: 100 * time.Millisecond}
}

// Writer is an io.Writer that never blocks.
type Writer struct {
	out    io.Writer
	config Config
	mu     sync.Mutex
	buffer []byte
	spare  []byte
	// pending is true while a write is scheduled or under way.
	pending bool
	idle    *sync.Cond
	// second and lines count the lines of the present second.
	second  int64
	lines   int
	dropped int
}

// NewWriter returns a writer in front of out.
func NewWriter(out io.Writer, c Config) *Writer {
	w := &Writer{out: out, config: c}
	w.idle = sync.NewCond(&w.mu)
	return w
}

// Write takes one line or drops it. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := time.Now().Unix(); second != w.second {
		w.second, w.lines = second, 0
	}
	if w.lines >= w.config.LinesPerSecond || len(w.buffer)+len(line) > w.config.MaxBytes {
		w.dropped++
		return len(line), nil
	}
	w.lines++
	if w.dropped > 0 {
		w.buffer = fmt.Appendf(w.buffer, "{\"level\":\"warn\",\"event\":\"log-lines-dropped\",\"count\":%d}\n", w.dropped)
		w.dropped = 0
	}
	w.buffer = append(w.buffer, line...)
	if !w.pending {
		w.pending = true
		time.AfterFunc(w.config.Delay, w.flush)
	}
	return len(line), nil
}

func (w *Writer) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.buffer) > 0 {
		lines := w.buffer
		w.buffer, w.spare = w.spare[:0], nil
		w.mu.Unlock()
		// Standard output is the only place to report a failure of standard output to.
		_, _ = w.out.Write(lines)
		w.mu.Lock()
		w.spare = lines
	}
	w.pending = false
	w.idle.Broadcast()
}

// Close writes what is left.
func (w *Writer) Close() {
	w.flush()
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.pending && len(w.buffer) > 0 {
		w.idle.Wait()
	}
}
