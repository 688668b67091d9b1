package medlardatacentre

import (
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
)

// Status is what a view holds of a member.
type Status string

// The states of a member. A member is dead only as far as the view can tell: it may be cut off.
const (
	StatusAlive   Status = "alive"
	StatusSuspect Status = "suspect"
	StatusDead    Status = "dead"
	StatusLeaving Status = "leaving"
)

// Heartbeat counts the beats of one incarnation. Zero means that the instance is known from a list only.
type Heartbeat uint64

// Member is one entry instance as seen by a view. Status and Unlisted are judgements of the view and are not exchanged.
type Member struct {
	Instance    medlarwheel.InstanceID   `json:"instance"`
	DataCentre  medlarwheel.DataCentreID `json:"data-centre"`
	PeerAddress string                   `json:"peer-address"`
	Incarnation medlarwheel.Incarnation  `json:"incarnation"`
	Heartbeat   Heartbeat                `json:"heartbeat"`
	Leaving     bool                     `json:"leaving,omitempty"`
	Status      Status                   `json:"status"`
	// Unlisted tells of a dead member that the platform's list no longer names it as live either.
	Unlisted bool `json:"unlisted,omitempty"`
}

// ErrSuperseded means that a higher incarnation of the view's own instance is running.
var ErrSuperseded = errors.New("superseded by a higher incarnation of this instance")

// ViewConfig sets the times and limits of a view.
type ViewConfig struct {
	// SuspectAfter and DeadAfter are the times without progress after which a member of the own data centre is suspect
	// and dead. Members of others have FarFactor times as long: nothing that is decided there depends on this view, and
	// news of them takes more rounds.
	SuspectAfter, DeadAfter time.Duration
	RemoteTimeoutFactor     int
	// MaxListLag bounds the time by which the platform's list is late. A dead member that is missing in a list counts as
	// ended once the list is newer than the member's last progress by this time.
	MaxListLag time.Duration
	// RemoveAfter is the time without progress after which a member is removed. Until then it is contacted now and
	// then, so that the end of a partition is noticed.
	RemoveAfter time.Duration
	// TombstoneRetention is the time that the last state of a removed member is kept, so that an older digest cannot revive it.
	TombstoneRetention time.Duration
	// MaxTombstones bounds the removed members that are remembered.
	MaxTombstones int
	// MaxDigest bounds the members of one digest to another data centre, and MaxFarDigest the members of other data
	// centres in a digest within the own one. The defaults keep the traffic of 144 members below 15 KB/s each.
	MaxDigest, MaxRemoteDigest int
	// Fanout is the number of members contacted per round.
	Fanout int
	// DeadProbeRounds is the number of rounds per contact with a dead member, on average.
	DeadProbeRounds int
	// MaxPause is the longest time between two beats that counts as normal. After a longer one this process was
	// stopped, and the silence of the others in that time is no evidence against them.
	MaxPause time.Duration
}

// DefaultViewConfig returns the times of the design page.
func DefaultViewConfig() ViewConfig {
	return ViewConfig{
		SuspectAfter:        5 * time.Second,
		DeadAfter:           15 * time.Second,
		MaxListLag:          time.Minute,
		RemoveAfter:         time.Hour,
		TombstoneRetention:  24 * time.Hour,
		MaxTombstones:       4096,
		RemoteTimeoutFactor: 4,
		MaxDigest:           24,
		MaxRemoteDigest:     8,
		Fanout:              2,
		DeadProbeRounds:     8,
		MaxPause:            3 * time.Second,
	}
}
