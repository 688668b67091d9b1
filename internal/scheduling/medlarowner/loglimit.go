package medlarowner

import (
	"time"

	"medlarwheel/internal/scheduling/medlarcell"
)

// maxLinesPerKind bounds the log lines of one kind of event in a second. A busy cell emits hundreds of some kinds, which
// without a limit for each kind would crowd out rare but important lines, such as a change of ownership.
const maxLinesPerKind = 100

// logLimit limits the rate of log lines for each kind of scheduler event.
type logLimit struct {
	second int64
	counts map[medlarcell.EventKind]int
}

// admits reports whether another line of a kind may be logged now. On the first call in a new second, it also returns the
// number of lines suppressed before, by kind.
func (l *logLimit) admits(now time.Time, kind medlarcell.EventKind) (ok bool, suppressed map[medlarcell.EventKind]int) {
	if second := now.Unix(); second != l.second {
		for k, n := range l.counts {
			if n > maxLinesPerKind {
				if suppressed == nil {
					suppressed = map[medlarcell.EventKind]int{}
				}
				suppressed[k] = n - maxLinesPerKind
			}
		}
		l.second, l.counts = second, map[medlarcell.EventKind]int{}
	}
	l.counts[kind]++
	return l.counts[kind] <= maxLinesPerKind, suppressed
}
