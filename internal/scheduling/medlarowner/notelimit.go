package medlarowner

import (
	"time"

	"medlarwheel/internal/scheduling/medlarcell"
)

// maxNotesPerKind bounds the lines of one kind in a second. A fleet under load has hundreds of some kind, and without a bound
// for each they would leave no room for the line of a change of ownership.
const maxNotesPerKind = 100

// noteLimit bounds the lines of each kind of decision.
type noteLimit struct {
	second int64
	counts map[medlarcell.EventKind]int
}

// admits reports whether one more line of a kind may be written now. It returns the lines that were left out in the second
// before, by kind, once that is over.
func (l *noteLimit) admits(now time.Time, kind medlarcell.EventKind) (ok bool, left map[medlarcell.EventKind]int) {
	if second := now.Unix(); second != l.second {
		for k, n := range l.counts {
			if n > maxNotesPerKind {
				if left == nil {
					left = map[medlarcell.EventKind]int{}
				}
				left[k] = n - maxNotesPerKind
			}
		}
		l.second, l.counts = second, map[medlarcell.EventKind]int{}
	}
	l.counts[kind]++
	return l.counts[kind] <= maxNotesPerKind, left
}
