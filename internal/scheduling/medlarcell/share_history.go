package medlarcell

import (
	"time"

	"medlarwheel/internal/scheduling/medlarinterference"
)

// metricsWindow is the time over which workers average the metrics of a task.
const metricsWindow = 500 * time.Millisecond

// shareHistoryRetention is how long ended intervals are kept.
const shareHistoryRetention = time.Second

// shareInterval is a time during which a best-effort run used a constant CPU share of its worker.
type shareInterval struct {
	run      *run
	share    float64
	from, to time.Time
}

// shareHistory records the recent CPU shares of best-effort runs on a worker.
type shareHistory struct{ intervals []shareInterval }

// startInterval records that a best-effort run uses its share from now on.
func (h *shareHistory) startInterval(now time.Time, r *run) {
	h.intervals = append(h.intervals, shareInterval{run: r, share: r.cpuShare() * float64(r.pace) / fullPace, from: now})
}

// endInterval records that a best-effort run no longer uses CPU, and drops intervals beyond the retention time.
func (h *shareHistory) endInterval(now time.Time, r *run) {
	kept := h.intervals[:0]
	for _, s := range h.intervals {
		if s.run == r && s.to.IsZero() {
			s.to = now
		}
		if s.to.IsZero() || now.Sub(s.to) < shareHistoryRetention {
			kept = append(kept, s)
		}
	}
	h.intervals = kept
}

// changePace records that the pace of a best-effort run has changed.
func (h *shareHistory) changePace(now time.Time, r *run) {
	h.endInterval(now, r)
	h.startInterval(now, r)
}

// averageShares returns the mean shares of the best-effort images over the window that ends now.
func (h *shareHistory) averageShares(now time.Time, window time.Duration) []medlarinterference.ImageShare {
	var shares []medlarinterference.ImageShare
	begin := now.Add(-window)
	for _, s := range h.intervals {
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

// minShareChange is the smallest change of a share that is used to fit the interference model.
const minShareChange = 0.005

// shareChanges returns the differences between the shares before and now.
func shareChanges(now, before []medlarinterference.ImageShare) []medlarinterference.ImageShare {
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
