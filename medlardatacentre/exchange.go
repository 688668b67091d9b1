package medlardatacentre

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"medlarwheel"
)

// Target is a peer to exchange digests with. Instance and DataCentre are empty for a seed address.
type Target struct {
	Instance   medlarwheel.InstanceID
	DataCentre medlarwheel.DataCentreID
	Address    string
}

// Digest returns the members to send to a peer in the data centre to: this instance and others that are not dead. A peer in
// the local data centre receives all members there and up to MaxRemoteDigest members of other data centres. A peer in
// another data centre receives up to MaxDigest-1 other members. A limited selection rotates from call to call. Dead members
// are omitted, so that instances that have removed them do not add them again.
func (v *View) Digest(now time.Time, to medlarwheel.DataCentreID) []Member {
	recent, digest := v.recentEntries(now), []Member{v.self}
	if to != v.self.DataCentre {
		return v.appendRotating(digest, recent, max(1, v.config.MaxDigest)-1, &v.cursor)
	}
	remote := make([]*entry, 0, len(recent))
	for _, e := range recent {
		if e.DataCentre != to {
			remote = append(remote, e)
			continue
		}
		digest = append(digest, e.Member)
	}
	return v.appendRotating(digest, remote, v.config.MaxRemoteDigest, &v.remoteCursor)
}

// appendRotating appends up to limit entries to digest, starting where the previous call ended.
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

// Targets returns the peers to contact in this round: Fanout members that are neither dead nor leaving, one of them in
// another data centre and the others in the local one where possible; every seed that is not the address of such a member;
// and, on average every DeadProbeRounds rounds, a dead or leaving member, so that the end of a partition is detected.
func (v *View) Targets(now time.Time, random *rand.Rand) []Target {
	var local, remote, inactive []Target
	addresses := map[string]struct{}{v.self.PeerAddress: {}}
	for _, m := range v.Members(now) {
		target := Target{Instance: m.Instance, DataCentre: m.DataCentre, Address: m.PeerAddress}
		switch {
		case m.Instance == v.self.Instance || m.PeerAddress == "":
			continue
		case m.Status == StatusDead || m.Status == StatusLeaving:
			inactive = append(inactive, target)
			continue
		case m.DataCentre == v.self.DataCentre:
			local = append(local, target)
		default:
			remote = append(remote, target)
		}
		addresses[m.PeerAddress] = struct{}{}
	}
	shuffle(random, remote)
	shuffle(random, local)
	targets := slices.Clone(local[:min(max(1, v.config.Fanout-1), len(local))])
	targets = append(targets, remote[:min(v.config.Fanout-len(targets), len(remote))]...)
	for _, address := range v.seeds {
		if _, known := addresses[address]; !known {
			targets = append(targets, Target{Address: address})
		}
	}
	if len(inactive) > 0 && random.IntN(v.config.DeadProbeRounds) == 0 {
		targets = append(targets, inactive[random.IntN(len(inactive))])
	}
	return targets
}

func shuffle(random *rand.Rand, targets []Target) {
	random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
}
