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
	// BufferBytes is the size of the buffer of lines that are not yet written.
	BufferBytes int
	// LinesPerSecond bounds the lines that are taken.
	LinesPerSecond int
	// FlushDelay is the longest time that a line waits for others before it is written.
	FlushDelay time.Duration
}

// DefaultConfig returns bounds for a small instance: a quarter of a megabyte, and a few lines for each submission.
func DefaultConfig() Config {
	return Config{BufferBytes: 256 << 10, LinesPerSecond: 500, FlushDelay: 100 * time.Millisecond}
}

// Writer is an io.Writer that never blocks.
type Writer struct {
	out         io.Writer
	config      Config
	mu          sync.Mutex
	buffer      []byte
	spareBuffer []byte
	// flushPending is true while a write is scheduled or under way.
	flushPending bool
	flushed      *sync.Cond
	// currentSecond and lines count the lines of the present second.
	currentSecond   int64
	linesThisSecond int
	dropped         int
}

// NewWriter returns a writer in front of out.
func NewWriter(out io.Writer, c Config) *Writer {
	w := &Writer{out: out, config: c}
	w.flushed = sync.NewCond(&w.mu)
	return w
}

// Write takes one line or drops it. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := time.Now().Unix(); second != w.currentSecond {
		w.currentSecond, w.linesThisSecond = second, 0
	}
	if w.linesThisSecond >= w.config.LinesPerSecond || len(w.buffer)+len(line) > w.config.BufferBytes {
		w.dropped++
		return len(line), nil
	}
	w.linesThisSecond++
	if w.dropped > 0 {
		w.buffer = fmt.Appendf(w.buffer, "{\"level\":\"warn\",\"event\":\"log-lines-dropped\",\"count\":%d}\n", w.dropped)
		w.dropped = 0
	}
	w.buffer = append(w.buffer, line...)
	if !w.flushPending {
		w.flushPending = true
		time.AfterFunc(w.config.FlushDelay, w.flush)
	}
	return len(line), nil
}

func (w *Writer) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.buffer) > 0 {
		lines := w.buffer
		w.buffer, w.spareBuffer = w.spareBuffer[:0], nil
		w.mu.Unlock()
		// Standard output is the only place to report a failure of standard output to.
		_, _ = w.out.Write(lines)
		w.mu.Lock()
		w.spareBuffer = lines
	}
	w.flushPending = false
	w.flushed.Broadcast()
}

// Close writes what is left.
func (w *Writer) Close() {
	w.flush()
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.flushPending && len(w.buffer) > 0 {
		w.flushed.Wait()
	}
}
