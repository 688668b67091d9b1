package medlarowner

import (
	"time"

	"medlarwheel/internal/scheduling/medlarcell"
)

// maxLinesPerKind bounds the lines of one kind in a second. A fleet under load has hundreds of some kind, and without a bound
// for each they would leave no room for the line of a change of ownership.
const maxLinesPerKind = 100

// logLimit bounds the lines of each kind of decision.
type logLimit struct {
	second int64
	counts map[medlarcell.EventKind]int
}

// admits reports whether one more line of a kind may be written now. It returns the lines that were left out in the second
// before, by kind, once that is over.
func (l *logLimit) admits(now time.Time, kind medlarcell.EventKind) (ok bool, left map[medlarcell.EventKind]int) {
	if second := now.Unix(); second != l.second {
		for k, n := range l.counts {
			if n > maxLinesPerKind {
				if left == nil {
					left = map[medlarcell.EventKind]int{}
				}
				left[k] = n - maxLinesPerKind
			}
		}
		l.second, l.counts = second, map[medlarcell.EventKind]int{}
	}
	l.counts[kind]++
	return l.counts[kind] <= maxLinesPerKind, left
}
