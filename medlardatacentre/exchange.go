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

// Digest returns what to tell a peer of a data centre: this instance and others that made progress lately, rotating from
// call to call. A peer of the own data centre is told of all members there and at most MaxFarDigest others, any other peer
// of at most MaxDigest-1. Dead members are left out, so that instances which forgot them do not learn of them again.
func (v *View) Digest(now time.Time, to medlarwheel.DataCentreID) []Member {
	recent, digest := v.recentEntries(now), []Member{v.self}
	if to != v.self.DataCentre {
		return v.appendRotating(digest, recent, max(1, v.config.MaxDigest)-1, &v.cursor)
	}
	far := make([]*entry, 0, len(recent))
	for _, e := range recent {
		if e.DataCentre != to {
			far = append(far, e)
			continue
		}
		digest = append(digest, e.Member)
	}
	return v.appendRotating(digest, far, v.config.MaxRemoteDigest, &v.remoteCursor)
}

// appendRotating adds up to limit entries to digest, beginning where the last call ended.
func (v *View) appendRotating(digest []Member, entries []*entry, limit int, cursor *int) []Member {
	count := min(len(entries), limit)
	for i := range count {
		digest = append(digest, entries[(*cursor+i)%len(entries)].Member)
	}
	*cursor += count
	return digest
}

// recentEntries returns the entries that are not dead, ordered by instance.
func (v *View) recentEntries(now time.Time) []*entry {
	var recent []*entry
	for _, e := range v.entries {
		if now.Sub(e.progressedAt) < v.timeoutFor(e, v.config.DeadAfter) {
			recent = append(recent, e)
		}
	}
	slices.SortFunc(recent, func(a, b *entry) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	return recent
}

// Targets returns the peers to contact in this round: Fanout members that are not dead, one of them in another data centre
// and the others in the own one as far as there are any; every seed that is no such member; and now and then a dead or leaving member, so that
// the end of a partition is noticed.
func (v *View) Targets(now time.Time, random *rand.Rand) []Target {
	var near, far, gone []Target
	reached := map[string]struct{}{v.self.PeerAddress: {}}
	for _, m := range v.Members(now) {
		t := Target{Instance: m.Instance, DataCentre: m.DataCentre, Address: m.PeerAddress}
		switch {
		case m.Instance == v.self.Instance || m.PeerAddress == "":
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
	shuffle(random, near)
	targets := slices.Clone(near[:min(max(1, v.config.Fanout-1), len(near))])
	targets = append(targets, far[:min(v.config.Fanout-len(targets), len(far))]...)
	for _, address := range v.seeds {
		if _, known := reached[address]; !known {
			targets = append(targets, Target{Address: address})
		}
	}
	if len(gone) > 0 && random.IntN(v.config.DeadProbeRounds) == 0 {
		targets = append(targets, gone[random.IntN(len(gone))])
	}
	return targets
}

func shuffle(random *rand.Rand, targets []Target) {
	random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
}
