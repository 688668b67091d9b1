package medlardatacentre

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"medlarwheel"
)

// Target is a peer to exchange digests with. Instance and DataCentre are empty for a seed.
type Target struct {
	Instance   medlarwheel.InstanceID
	DataCentre medlarwheel.DataCentreID
	Address    string
}

// Digest returns what to tell a peer: this instance and at most MaxDigest-1 others that made progress within DeadAfter,
// rotating from call to call. Dead members are left out, so that instances which forgot them do not learn of them again.
func (v *View) Digest(now time.Time) []Member {
	recent := v.recent(now)
	count := min(len(recent), max(1, v.config.MaxDigest)-1)
	digest := []Member{v.self}
	for i := range count {
		digest = append(digest, recent[(v.cursor+i)%len(recent)].Member)
	}
	v.cursor += count
	return digest
}

// recent returns the entries with progress within DeadAfter, ordered by instance.
func (v *View) recent(now time.Time) []*entry {
	var recent []*entry
	for _, e := range v.entries {
		if now.Sub(e.progressed) < v.config.DeadAfter {
			recent = append(recent, e)
		}
	}
	slices.SortFunc(recent, func(a, b *entry) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	return recent
}

// Targets returns the peers to contact in this round: Fanout members that are not dead, at least one of them in another
// data centre if there is one; every seed that is no such member; and now and then a dead or leaving member, so that
// the end of a partition is noticed.
func (v *View) Targets(now time.Time, random *rand.Rand) []Target {
	var near, far, gone []Target
	reached := map[string]struct{}{v.self.PeerAddress: {}}
	for _, m := range v.Members(now) {
		t := Target{Instance: m.Instance, DataCentre: m.DataCentre, Address: m.PeerAddress}
		switch {
		case m.Instance == v.self.Instance:
			continue
		case m.Status == StatusDead || m.Status == StatusLeaving:
			gone = append(gone, t)
			continue
		case m.DataCentre == v.self.DataCentre:
			near = append(near, t)
		default:
			far = append(far, t)
		}
		reached[m.PeerAddress] = struct{}{}
	}
	shuffle(random, far)
	targets := far[:min(1, len(far))]
	rest := slices.Concat(near, far[len(targets):])
	shuffle(random, rest)
	targets = append(slices.Clone(targets), rest[:min(v.config.Fanout-len(targets), len(rest))]...)
	for _, address := range v.seeds {
		if _, known := reached[address]; !known {
			targets = append(targets, Target{Address: address})
		}
	}
	if len(gone) > 0 && random.IntN(v.config.DeadProbeEvery) == 0 {
		targets = append(targets, gone[random.IntN(len(gone))])
	}
	return targets
}

func shuffle(random *rand.Rand, targets []Target) {
	random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
}
