package medlarcell

import (
	"time"

	"medlarwheel/internal/scheduling/medlarinterference"
)

// figureWindow is the span over which workers average the figures of a task.
const figureWindow = 500 * time.Millisecond

// historyLength is how long ended spans are kept.
const historyLength = time.Second

// span is a time during which a filling run used a share of its worker.
type span struct {
	run      *run
	share    float64
	from, to time.Time
}

// history is what filling tasks have used on a worker lately.
type history struct{ spans []span }

// start notes that a filling run uses its share from now on.
func (h *history) start(now time.Time, r *run) {
	h.spans = append(h.spans, span{run: r, share: r.share() * float64(r.pace) / fullPace, from: now})
}

// end notes that a filling run uses nothing any more, and drops what is too old to matter.
func (h *history) end(now time.Time, r *run) {
	kept := h.spans[:0]
	for _, s := range h.spans {
		if s.run == r && s.to.IsZero() {
			s.to = now
		}
		if s.to.IsZero() || now.Sub(s.to) < historyLength {
			kept = append(kept, s)
		}
	}
	h.spans = kept
}

// change notes that the pace of a filling run has changed.
func (h *history) change(now time.Time, r *run) {
	h.end(now, r)
	h.start(now, r)
}

// average returns the mean shares of the filling images over the window before now.
func (h *history) average(now time.Time, window time.Duration) []medlarinterference.ImageShare {
	var shares []medlarinterference.ImageShare
	begin := now.Add(-window)
	for _, s := range h.spans {
		from, to := s.from, s.to
		if from.Before(begin) {
			from = begin
		}
		if to.IsZero() || to.After(now) {
			to = now
		}
		if overlap := to.Sub(from); overlap > 0 {
			shares = addShare(shares, s.run.image(), s.share*overlap.Seconds()/window.Seconds())
		}
	}
	return shares
}

func addShare(shares []medlarinterference.ImageShare, image medlarinterference.Image, share float64) []medlarinterference.ImageShare {
	for i := range shares {
		if shares[i].Image == image {
			shares[i].Share += share
			return shares
		}
	}
	return append(shares, medlarinterference.ImageShare{Image: image, Share: share})
}

// minShareChange is the least change of a share that is worth learning from.
const minShareChange = 0.005

// difference returns the changes of shares from before to now.
func difference(now, before []medlarinterference.ImageShare) []medlarinterference.ImageShare {
	changes := append([]medlarinterference.ImageShare(nil), now...)
	for _, s := range before {
		changes = addShare(changes, s.Image, -s.Share)
	}
	kept := changes[:0]
	for _, s := range changes {
		if s.Share > minShareChange || s.Share < -minShareChange {
			kept = append(kept, s)
		}
	}
	return kept
}
