// Package medlardatacentre tracks the membership of entry instances and maintains the rosters of data centres.
//
// A View merges the information about entry instances from peers, the platform's instance list and the settings. Peers
// exchange digests of (instance, incarnation, heartbeat counter). A member whose counter does not grow becomes suspect and
// then dead; a higher counter makes it alive again. Leaving is final for an incarnation. The platform's list can add
// instances and mark them as leaving. It never makes a dead member alive again, because it may be outdated.
//
// A Roster is the agreed record of one data centre: its members and the voters of its claim group. PlanRoster returns the
// next roster. The caller writes it to the platform's table by compare-and-set, so that only one plan per epoch succeeds.
//
// # Usage
//
// Every second:
//
//	view.IncrementHeartbeat(now)
//	for _, target := range view.Targets(now, random) {
//		response := exchange(target.Address, view.Digest(now, target.DataCentre))
//		if err := view.Merge(clock.Now(), response); errors.Is(err, medlardatacentre.ErrSuperseded) {
//			return err // a later incarnation of this instance is running
//		}
//	}
//	if next, changed := medlardatacentre.PlanRoster(current, view.Members(now), now); changed {
//		compareAndSet(next)
//	}
//
// When a roster has been read:
//
//	if rosters.Merge(roster) {
//		plan := roster.Recovery(self, incarnation)
//		...
//	}
package medlardatacentre
