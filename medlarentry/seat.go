package medlarentry

import (
	"context"
	"sync"
	"time"

	"medlarwheel"
	"medlarwheel/medlarclaim"
	"medlarwheel/medlardatacentre"
	"medlarwheel/medlarpeer/peerpb"
)

// recoveryPause is the time between two rounds of a recovery.
const recoveryPause = 100 * time.Millisecond

// seatHolder holds this instance's seat in the claim group of its data centre.
type seatHolder struct {
	d *Daemon

	mu       sync.Mutex
	seat     *medlarclaim.Seat
	recovery *medlarclaim.Recovery
	epoch    medlarwheel.Epoch
	// addresses holds the peer addresses of the group.
	addresses map[medlarwheel.InstanceID]string
}

func newSeatHolder(d *Daemon) *seatHolder { return &seatHolder{d: d} }

// answer answers one question at this instance's seat.
func (h *seatHolder) answer(dc medlarwheel.DataCentreID, epoch medlarwheel.Epoch, q medlarclaim.Question) (medlarclaim.Answer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seat == nil || dc != h.d.settings.DataCentre {
		return medlarclaim.Answer{}, errSeatElsewhere
	}
	return h.seat.Answer(h.d.clock.Now(), epoch, q), nil
}

// answerAll answers a batch of questions.
func (h *seatHolder) answerAll(dc medlarwheel.DataCentreID, epoch medlarwheel.Epoch, questions []medlarclaim.Question) ([]medlarclaim.Answer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seat == nil || dc != h.d.settings.DataCentre {
		return nil, errSeatElsewhere
	}
	now := h.d.clock.Now()
	answers := make([]medlarclaim.Answer, 0, len(questions))
	for _, q := range questions {
		answers = append(answers, h.seat.Answer(now, epoch, q))
	}
	return answers, nil
}

// page returns a page of votes for a recovering seat.
func (h *seatHolder) page(dc medlarwheel.DataCentreID, request medlarclaim.FetchRequest) (medlarclaim.Page, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seat == nil || dc != h.d.settings.DataCentre {
		return medlarclaim.Page{}, errSeatElsewhere
	}
	return h.seat.Snapshot(h.d.clock.Now(), request, votePage), nil
}

func (h *seatHolder) expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seat != nil {
		h.seat.Expire(now)
	}
}

func (h *seatHolder) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seat == nil {
		return 0
	}
	return h.seat.Len()
}

func (h *seatHolder) currentEpoch() medlarwheel.Epoch {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epoch
}

// adopt takes over a roster of the own data centre. An instance that gets a seat recovers the votes of the group before
// it votes, unless it founded the group.
func (h *seatHolder) adopt(r medlardatacentre.Roster, founding bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.epoch = r.Epoch
	h.addresses = make(map[medlarwheel.InstanceID]string)
	for _, m := range r.Members {
		h.addresses[m.Instance] = m.PeerAddress
	}
	held := false
	for _, seat := range r.Seats {
		held = held || seat == h.d.settings.Instance
	}
	if !held {
		h.seat, h.recovery = nil, nil
		return
	}
	now := h.d.clock.Now()
	if h.seat != nil {
		h.seat.Adopt(r.Epoch)
		return
	}
	config := medlarclaim.DefaultSeatConfig(h.d.settings.Instance, h.d.incarnation)
	config.Epoch, config.Founding = r.Epoch, founding
	h.seat = medlarclaim.NewSeat(config, now)
	if founding {
		return
	}
	h.recovery = h.seat.Recover(sourcesOf(r, h.d.settings.Instance), true)
	h.d.background(func() { h.recover(r.DataCentre) })
}

func sourcesOf(r medlardatacentre.Roster, self medlarwheel.InstanceID) []medlarclaim.Source {
	var sources []medlarclaim.Source
	for _, m := range r.Members {
		for _, seat := range r.Seats {
			if seat == m.Instance && seat != self {
				sources = append(sources, medlarclaim.Source{Instance: m.Instance, Incarnation: m.Incarnation})
			}
		}
	}
	return sources
}

// recover copies the votes of the other seats until the seat may vote.
func (h *seatHolder) recover(dc medlarwheel.DataCentreID) {
	ticker := time.NewTicker(recoveryPause)
	defer ticker.Stop()
	for {
		if h.recoverRound(dc) {
			return
		}
		select {
		case <-ticker.C:
		case <-h.d.stop:
			// A stop waits for background work, and a recovery without its sources never ends.
			return
		case <-h.d.base.Done():
			return
		}
	}
}

// recoverRound asks every source for its next page. It reports whether the recovery is over.
func (h *seatHolder) recoverRound(dc medlarwheel.DataCentreID) bool {
	h.mu.Lock()
	recovery := h.recovery
	if recovery == nil || recovery.Done(h.d.clock.Now()) {
		h.recovery = nil
		h.mu.Unlock()
		h.d.log.Info().Str("event", "seat-recovered").Send()
		return true
	}
	fetches := recovery.Pending()
	h.mu.Unlock()
	for _, fetch := range fetches {
		page, err := h.fetch(dc, fetch)
		if err != nil {
			continue
		}
		h.mu.Lock()
		recovery.Merge(h.d.clock.Now(), fetch.To, page)
		h.mu.Unlock()
	}
	return false
}

func (h *seatHolder) fetch(dc medlarwheel.DataCentreID, fetch medlarclaim.Fetch) (medlarclaim.Page, error) {
	ctx, cancel := context.WithTimeout(h.d.base, time.Second)
	defer cancel()
	h.mu.Lock()
	address := h.addresses[fetch.To]
	h.mu.Unlock()
	response, err := h.d.peers.Peer(address).FetchVotes(ctx, &peerpb.FetchVotesRequest{
		DataCentre: string(dc), Instance: string(fetch.Request.From), Incarnation: uint64(fetch.Request.Incarnation),
		Epoch: uint64(fetch.Request.Epoch), Offset: fetch.Request.Offset,
	})
	if err != nil {
		return medlarclaim.Page{}, medlarwheel.AtStep("fetch votes", string(fetch.To), err)
	}
	return pageFromWire(response)
}
