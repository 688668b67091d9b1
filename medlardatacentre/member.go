package medlardatacentre

import (
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
)

// Status is the state of a member in a view.
type Status string

// The states of a member. A dead member may still be running, cut off by a network partition.
const (
	StatusAlive   Status = "alive"
	StatusSuspect Status = "suspect"
	StatusDead    Status = "dead"
	StatusLeaving Status = "leaving"
)

// Heartbeat is the heartbeat counter of an incarnation. It is zero if the instance is known only from a list.
type Heartbeat uint64

// Member is one entry instance in a view. Status and Unlisted are derived by the view and are not sent to peers.
type Member struct {
	Instance    medlarwheel.InstanceID   `json:"instance"`
	DataCentre  medlarwheel.DataCentreID `json:"data-centre"`
	PeerAddress string                   `json:"peer-address"`
	Incarnation medlarwheel.Incarnation  `json:"incarnation"`
	Heartbeat   Heartbeat                `json:"heartbeat"`
	Leaving     bool                     `json:"leaving,omitempty"`
	Status      Status                   `json:"status"`
	// Unlisted is set for a dead member that the platform's list no longer contains as live.
	Unlisted bool `json:"unlisted,omitempty"`
}

// ErrSuperseded means that a higher incarnation of the local instance is running.
var ErrSuperseded = errors.New("superseded by a higher incarnation of this instance")

// ViewConfig sets the durations and limits of a view.
type ViewConfig struct {
	// SuspectAfter and DeadAfter are the times without heartbeat progress after which a member of the local data centre is
	// suspect and dead. For members of other data centres they are multiplied by RemoteTimeoutFactor: their heartbeats take
	// more rounds to arrive, and no decision in their data centre depends on this view.
	SuspectAfter, DeadAfter time.Duration
	RemoteTimeoutFactor     int
	// MaxListLag is the longest time by which the platform's list may be outdated. A dead member that is missing from a list
	// counts as ended if the list was received at least this long after the member's last progress.
	MaxListLag time.Duration
	// RemoveAfter is the time without progress after which a member is removed. Until then it is contacted occasionally, so
	// that the end of a partition is detected.
	RemoveAfter time.Duration
	// TombstoneRetention is how long the last state of a removed member is kept, so that an outdated digest does not add the
	// member again.
	TombstoneRetention time.Duration
	// MaxTombstones limits the number of removed members whose last state is kept.
	MaxTombstones int
	// MaxDigest limits the members in a digest to another data centre. MaxRemoteDigest limits the members of other data
	// centres in a digest within the local one. With the defaults and 144 members the traffic stays below 15 KB/s for each.
	MaxDigest, MaxRemoteDigest int
	// Fanout is the number of live members contacted per round.
	Fanout int
	// DeadProbeRounds is the average number of rounds between contacts with a dead or leaving member.
	DeadProbeRounds int
	// MaxPause is the longest normal time between two calls of IncrementHeartbeat. After a longer one this process was
	// paused, and the missing heartbeats of other members during the pause do not count against them.
	MaxPause time.Duration
}

// DefaultViewConfig returns the values of the design page.
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
