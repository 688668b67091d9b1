// Package medlardatacentre keeps the membership of entry instances and the rosters of data centres.
//
// A View merges what peers, the platform's instance list and the settings say about entry instances. Peers exchange
// digests of (instance, incarnation, heartbeat counter). An entry without progress becomes suspect and then dead; a
// higher counter revives it. Leaving is final for an incarnation. The list only adds instances and states; it never
// revives one, because it lags.
//
// A Roster is the agreed record of one data centre: its members and the seats of its claim group. PlanRoster proposes
// the next roster; the caller writes it to the platform's table by compare-and-set, so that one plan per epoch wins.
//
// # Usage
//
// Every second:
//
//	view.Beat(now)
//	for _, target := range view.Targets(now, random) {
//		reply := exchange(target.Address, view.Digest(now, target.DataCentre))
//		if err := view.Merge(clock.Now(), reply); errors.Is(err, medlardatacentre.ErrSuperseded) {
//			return err // a later start of this instance is running
//		}
//	}
//	if next, changed := medlardatacentre.PlanRoster(current, view.Members(now), now); changed {
//		compareAndSet(next)
//	}
//
// When a roster arrives:
//
//	if rosters.Merge(roster) {
//		plan := roster.Recovery(self, incarnation)
//		...
//	}
package medlardatacentre
