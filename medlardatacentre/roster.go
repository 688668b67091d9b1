package medlardatacentre

import (
	"fmt"
	"slices"
	"time"

	"medlarwheel"
	"medlarwheel/medlarclaim"
)

// MaxVoters is the largest number of voters in a claim group.
const MaxVoters = 3

// RosterMember is one entry instance of a data centre.
type RosterMember struct {
	Instance    medlarwheel.InstanceID  `json:"instance"`
	Incarnation medlarwheel.Incarnation `json:"incarnation"`
	PeerAddress string                  `json:"peer-address"`
	// JoinedEpoch is the first epoch in which this incarnation is a member.
	JoinedEpoch medlarwheel.Epoch `json:"joined-epoch"`
}

// Voter is one voting member of the claim group.
type Voter struct {
	Instance    medlarwheel.InstanceID  `json:"instance"`
	Incarnation medlarwheel.Incarnation `json:"incarnation"`
	// SinceEpoch is the first epoch in which this incarnation is a voter.
	SinceEpoch medlarwheel.Epoch `json:"since-epoch"`
	// QuarantineFrom is set if votes cast before that time may have been lost. It is zero if none were lost recently.
	QuarantineFrom time.Time `json:"quarantine-from,omitzero"`
	// Ended is set once the process itself has reported that it has permanently stopped voting.
	Ended bool `json:"ended,omitempty"`
}

// RemovedMember is a process that was removed before it gave up its share of upstream slots. Its requests may still be in
// flight.
type RemovedMember struct {
	Instance    medlarwheel.InstanceID  `json:"instance"`
	Incarnation medlarwheel.Incarnation `json:"incarnation"`
	// RemovedEpoch is the first epoch without the member.
	RemovedEpoch medlarwheel.Epoch `json:"removed-epoch"`
	// RemovedAt is the planner's wall clock time of the removal. It only determines when the entry is dropped.
	RemovedAt time.Time `json:"removed-at"`
}

// Roster is the agreed record of one data centre. It is the value of the row "roster/<data-centre>".
type Roster struct {
	DataCentre medlarwheel.DataCentreID `json:"data-centre"`
	Epoch      medlarwheel.Epoch        `json:"epoch"`
	Members    []RosterMember           `json:"members,omitempty"`
	// Voters are in the order in which a ballot sends requests to them.
	Voters []Voter `json:"seats,omitempty"`
	// Sources are the voters from which those that joined with the last change of voters copy votes. Together they hold
	// votes of every claim granted by the earlier groups. The first roster has none, since no vote was cast before it.
	Sources []medlarwheel.InstanceID `json:"sources,omitempty"`
	// VotersChangedAt is the planner's wall clock time of the last change of voters.
	VotersChangedAt time.Time `json:"seats-changed-at,omitzero"`
	// Removed lists recently removed processes that have not given up their upstream slots.
	Removed []RemovedMember `json:"removed,omitempty"`
}

// DecodeRoster decodes a roster from JSON and reports all invalid values together.
func DecodeRoster(data []byte) (Roster, error) { return medlarwheel.Decode[Roster](data) }

// Voter returns the voter entry of the instance.
func (r *Roster) Voter(id medlarwheel.InstanceID) (Voter, bool) {
	i := slices.IndexFunc(r.Voters, func(v Voter) bool { return v.Instance == id })
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

// Check reports every invalid value of r.
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
	voters := make(map[medlarwheel.InstanceID]struct{})
	for i, v := range r.Voters {
		path := fmt.Sprintf("seats[%d]", i)
		c.checkUnique(voters, path, v.Instance)
		c.checkEpoch(path+".since-epoch", v.SinceEpoch)
	}
	c.faults = c.faults.CheckRange("seats", int64(len(r.Voters)), 0, MaxVoters)
	for i, id := range r.Sources {
		if _, isVoter := voters[id]; !isVoter {
			c.faults = c.faults.Add(fmt.Sprintf("sources[%d]", i), id, "an instance listed in seats")
		}
	}
	for i, m := range r.Removed {
		path := fmt.Sprintf("removed[%d]", i)
		c.faults = append(c.faults, medlarwheel.CheckName(path+".instance", string(m.Instance))...)
		c.checkEpoch(path+".removed-epoch", m.RemovedEpoch)
		if member, ok := r.Member(m.Instance); ok && member.Incarnation == m.Incarnation {
			c.faults = c.faults.Add(path+".instance", m.Instance, "a process that is not a member")
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
		c.faults = c.faults.Add(path, epoch, fmt.Sprintf("1 to %d, the epoch of the roster", c.epoch))
	}
}

// RecoveryPlan describes how a process becomes able to vote in the claim group of a roster.
type RecoveryPlan struct {
	// IsVoter is false for an instance that is not a voter.
	IsVoter bool
	// Bootstrap is set for a voter of the first roster, which votes without copying votes.
	Bootstrap bool
	// Sources and Sufficient are the arguments of medlarclaim.Voter.StartRecovery for any other voter.
	Sources    []medlarclaim.RecoverySource
	Sufficient bool
	// QuarantineFrom is the argument of medlarclaim.Voter.Quarantine. It is zero if the voter is not quarantined.
	QuarantineFrom time.Time
}

// Recovery returns the plan for a process that has not recovered since the SinceEpoch of its voter.
//
// A process with a later incarnation than its voter has restarted within the epoch. It copies the votes of all other
// voters, which suffice unless there are none. A running recovery continues under a later roster with the same SinceEpoch,
// but loses the sources that are not voters there (medlarclaim.Recovery.RemoveSource).
func (r *Roster) Recovery(self medlarwheel.InstanceID, incarnation medlarwheel.Incarnation) RecoveryPlan {
	voter, isVoter := r.Voter(self)
	if !isVoter || incarnation < voter.Incarnation {
		return RecoveryPlan{}
	}
	plan := RecoveryPlan{IsVoter: true, QuarantineFrom: voter.QuarantineFrom}
	restarted := incarnation > voter.Incarnation
	if !restarted && len(r.Sources) == 0 && voter.QuarantineFrom.IsZero() {
		plan.Bootstrap = true
		return plan
	}
	for _, v := range r.Voters {
		if v.Instance != self && (restarted || slices.Contains(r.Sources, v.Instance)) {
			plan.Sources = append(plan.Sources, medlarclaim.RecoverySource{Instance: v.Instance, Incarnation: v.Incarnation})
		}
	}
	// A voter that is itself a source but has not recovered lacks votes that the other voters rely on.
	plan.Sufficient = len(plan.Sources) > 0 && (restarted || !slices.Contains(r.Sources, self))
	return plan
}
