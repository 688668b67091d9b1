package medlardatacentre

import (
	"fmt"
	"slices"
	"time"

	"medlarwheel"
	"medlarwheel/medlarclaim"
)

// MaxVoters bounds the seats of a claim group.
const MaxVoters = 3

// RosterMember is one entry instance of a data centre.
type RosterMember struct {
	Instance    medlarwheel.InstanceID  `json:"instance"`
	Incarnation medlarwheel.Incarnation `json:"incarnation"`
	PeerAddress string                  `json:"peer-address"`
	// JoinedEpoch is the first epoch with this incarnation.
	JoinedEpoch medlarwheel.Epoch `json:"joined-epoch"`
}

// Voter is one voting member of the claim group.
type Voter struct {
	Instance    medlarwheel.InstanceID  `json:"instance"`
	Incarnation medlarwheel.Incarnation `json:"incarnation"`
	// SinceEpoch is the first epoch in which this incarnation holds the seat.
	SinceEpoch medlarwheel.Epoch `json:"since-epoch"`
	// QuarantineFrom marks the loss of votes cast up to that time. It is zero if none were lost lately.
	QuarantineFrom time.Time `json:"quarantine-from,omitzero"`
	// Ended tells that the process has stopped voting for good, on its own word.
	Ended bool `json:"ended,omitempty"`
}

// RemovedMember is a process that was removed without having given up its share of upstream slots. Its requests may still
// be in flight.
type RemovedMember struct {
	Instance    medlarwheel.InstanceID  `json:"instance"`
	Incarnation medlarwheel.Incarnation `json:"incarnation"`
	// RemovedEpoch is the first epoch without the member.
	RemovedEpoch medlarwheel.Epoch `json:"removed-epoch"`
	// RemovedAt is the planner's time of the removal. It only decides when the entry is dropped.
	RemovedAt time.Time `json:"removed-at"`
}

// Roster is the agreed record of one data centre. It is the value of the row "roster/<data-centre>".
type Roster struct {
	DataCentre medlarwheel.DataCentreID `json:"data-centre"`
	Epoch      medlarwheel.Epoch        `json:"epoch"`
	Members    []RosterMember           `json:"members,omitempty"`
	// Voters are in the order in which ballots ask them.
	Voters []Voter `json:"seats,omitempty"`
	// Sources are the seats from which seats that joined with the last change of seats copy votes. Together they know
	// every claim of the earlier groups. The first roster has none, since no vote was cast before it.
	Sources []medlarwheel.InstanceID `json:"sources,omitempty"`
	// VotersChangedAt is the planner's time of the last change of seats.
	VotersChangedAt time.Time `json:"seats-changed-at,omitzero"`
	// Removed lists recently removed processes that have not given up their slots.
	Removed []RemovedMember `json:"removed,omitempty"`
}

// DecodeRoster reads a roster from JSON and reports every fault at once.
func DecodeRoster(data []byte) (Roster, error) { return medlarwheel.Decode[Roster](data) }

// Voter returns the seat of the instance.
func (r *Roster) Voter(id medlarwheel.InstanceID) (Voter, bool) {
	i := slices.IndexFunc(r.Voters, func(s Voter) bool { return s.Instance == id })
	if i < 0 {
		return Voter{}, false
	}
	return r.Voters[i], true
}

// Member returns the member entry of the instance.
func (r *Roster) Member(id medlarwheel.InstanceID) (RosterMember, bool) {
	i := slices.IndexFunc(r.Members, func(m RosterMember) bool { return m.Instance == id })
	if i < 0 {
		return RosterMember{}, false
	}
	return r.Members[i], true
}

// Check reports every fault of r.
func (r *Roster) Check() medlarwheel.Faults {
	faults := medlarwheel.CheckName("data-centre", string(r.DataCentre))
	if r.Epoch == 0 {
		faults = faults.Add("epoch", 0, "1 or more")
	}
	c := rosterChecker{epoch: r.Epoch, faults: faults}
	members := make(map[medlarwheel.InstanceID]struct{})
	for i, m := range r.Members {
		path := fmt.Sprintf("members[%d]", i)
		c.checkUnique(members, path, m.Instance)
		c.checkEpoch(path+".joined-epoch", m.JoinedEpoch)
		c.faults = append(c.faults, medlarwheel.CheckAddress(path+".peer-address", m.PeerAddress)...)
	}
	seats := make(map[medlarwheel.InstanceID]struct{})
	for i, s := range r.Voters {
		path := fmt.Sprintf("seats[%d]", i)
		c.checkUnique(seats, path, s.Instance)
		c.checkEpoch(path+".since-epoch", s.SinceEpoch)
	}
	c.faults = c.faults.CheckRange("seats", int64(len(r.Voters)), 0, MaxVoters)
	for i, id := range r.Sources {
		if _, seat := seats[id]; !seat {
			c.faults = c.faults.Add(fmt.Sprintf("sources[%d]", i), id, "an instance with a seat")
		}
	}
	for i, m := range r.Removed {
		path := fmt.Sprintf("removed[%d]", i)
		c.faults = append(c.faults, medlarwheel.CheckName(path+".instance", string(m.Instance))...)
		c.checkEpoch(path+".removed-epoch", m.RemovedEpoch)
		if member, ok := r.Member(m.Instance); ok && member.Incarnation == m.Incarnation {
			c.faults = c.faults.Add(path+".instance", m.Instance, "a process that is no member")
		}
	}
	return c.faults
}

type rosterChecker struct {
	epoch  medlarwheel.Epoch
	faults medlarwheel.Faults
}

func (c *rosterChecker) checkUnique(seen map[medlarwheel.InstanceID]struct{}, path string, id medlarwheel.InstanceID) {
	c.faults = append(c.faults, medlarwheel.CheckName(path+".instance", string(id))...)
	if _, twice := seen[id]; twice {
		c.faults = c.faults.Add(path+".instance", id, "each instance once")
	}
	seen[id] = struct{}{}
}

func (c *rosterChecker) checkEpoch(path string, epoch medlarwheel.Epoch) {
	if epoch == 0 || epoch > c.epoch {
		c.faults = c.faults.Add(path, epoch, "1 up to the epoch of the roster")
	}
}

// RecoveryPlan tells a process what to do about its seat in a roster.
type RecoveryPlan struct {
	// IsVoter is false for an instance without a seat.
	IsVoter bool
	// Bootstrap lets the seat vote at once.
	Bootstrap bool
	// Sources and Sufficient are the arguments of medlarclaim.Voter.Recover for any other seat.
	Sources    []medlarclaim.RecoverySource
	Sufficient bool
	// QuarantineFrom is the mark of the seat, for medlarclaim.Voter.Quarantine. It is zero without one.
	QuarantineFrom time.Time
}

// Recovery returns the plan of a process that has not recovered since the SinceEpoch of its seat.
//
// A process with a later incarnation than its seat has restarted within the epoch. It copies the votes of all other
// seats, which suffice unless there are none. A running recovery goes on in a later roster with the same SinceEpoch,
// except that sources without a seat in it are lost (medlarclaim.Recovery.Lose).
func (r *Roster) Recovery(self medlarwheel.InstanceID, incarnation medlarwheel.Incarnation) RecoveryPlan {
	own, isSeat := r.Voter(self)
	if !isSeat || incarnation < own.Incarnation {
		return RecoveryPlan{}
	}
	plan := RecoveryPlan{IsVoter: true, QuarantineFrom: own.QuarantineFrom}
	restarted := incarnation > own.Incarnation
	if !restarted && len(r.Sources) == 0 && own.QuarantineFrom.IsZero() {
		plan.Bootstrap = true
		return plan
	}
	for _, s := range r.Voters {
		if s.Instance != self && (restarted || slices.Contains(r.Sources, s.Instance)) {
			plan.Sources = append(plan.Sources, medlarclaim.RecoverySource{Instance: s.Instance, Incarnation: s.Incarnation})
		}
	}
	// A seat that is named as a source itself but has not recovered lacks what the others expect it to know.
	plan.Sufficient = len(plan.Sources) > 0 && (restarted || !slices.Contains(r.Sources, self))
	return plan
}
