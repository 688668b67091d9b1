// Package medlarlog writes structured log lines without ever blocking the caller, and bounds their number.
//
// Lines are collected in memory and written in the background. When the buffer is full, or more lines arrive in a second
// than allowed, lines are dropped; their number is logged with the next accepted line.
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

// Config limits the volume of the log.
type Config struct {
	// BufferBytes is the size of the buffer for lines that are not written yet.
	BufferBytes int
	// LinesPerSecond is the maximum number of lines accepted per second.
	LinesPerSecond int
	// FlushDelay is the longest time for which a line is buffered before it is written.
	FlushDelay time.Duration
}

// DefaultConfig returns limits for a small instance: a buffer of 256 KiB, and a few lines for each submission.
func DefaultConfig() Config {
	return Config{BufferBytes: 256 << 10, LinesPerSecond: 500, FlushDelay: 100 * time.Millisecond}
}

// Writer is an io.Writer that does not block on its output.
type Writer struct {
	out         io.Writer
	config      Config
	mu          sync.Mutex
	buffer      []byte
	spareBuffer []byte
	// flushPending is true while a flush is scheduled or running.
	flushPending bool
	flushed      *sync.Cond
	// currentSecond and linesThisSecond count the lines of the current second.
	currentSecond   int64
	linesThisSecond int
	dropped         int
}

// NewWriter returns a buffered writer that writes to out.
func NewWriter(out io.Writer, c Config) *Writer {
	w := &Writer{out: out, config: c}
	w.flushed = sync.NewCond(&w.mu)
	return w
}

// Write buffers one line or drops it. It never fails.
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
		// An error is ignored: a failure of standard output could only be reported on standard output.
		_, _ = w.out.Write(lines)
		w.mu.Lock()
		w.spareBuffer = lines
	}
	w.flushPending = false
	w.flushed.Broadcast()
}

// Close writes the buffered lines.
func (w *Writer) Close() {
	w.flush()
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.flushPending && len(w.buffer) > 0 {
		w.flushed.Wait()
	}
}
