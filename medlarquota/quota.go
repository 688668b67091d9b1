package medlarquota

import (
	"time"

	"medlarwheel"
)

// TeamName names a team.
type TeamName string

// TeamLimit is the quota of a team and its weight in the fair share.
type TeamLimit struct {
	Quota  medlarwheel.Resources
	Weight medlarwheel.Weight
}

// AccountLimit is the quota of a client account and those of its templates.
type AccountLimit struct {
	Quota     medlarwheel.Resources
	Templates map[medlarwheel.TemplateName]medlarwheel.Resources
}

// Usage is an amount of resources that tasks of an account have, or are to get.
type Usage struct {
	Team      TeamName                 `json:"team"`
	Account   medlarwheel.AccountID    `json:"account"`
	Template  medlarwheel.TemplateName `json:"template"`
	Resources medlarwheel.Resources    `json:"resources"`
}

// Item is a pending task, or a pending gang with the resources of all its tasks.
type Item struct {
	// ID is the task, or the first task of the gang.
	ID          medlarwheel.TaskID
	Usage       Usage
	Class       medlarwheel.Class
	SubmittedAt time.Time
}

// TeamOf returns the team whose quota an account's tasks count against. An account without a team is its own team.
func TeamOf(id medlarwheel.AccountID, account *medlarwheel.Account) TeamName {
	if account != nil && account.Team != "" {
		return TeamName(account.Team)
	}
	return TeamName(id)
}

// WithinQuota reports whether an amount keeps a quota.
func WithinQuota(amount, quota medlarwheel.Resources) bool {
	return (quota.CPU == 0 || amount.CPU <= quota.CPU) &&
		(quota.Memory == 0 || amount.Memory <= quota.Memory) &&
		(quota.Accelerators == 0 || amount.Accelerators <= quota.Accelerators)
}

// dominantShare returns the largest part that an amount is of any resource of the capacity.
func dominantShare(amount, capacity medlarwheel.Resources) float64 {
	share := 0.0
	part := func(used, all int64) {
		if all > 0 {
			share = max(share, float64(used)/float64(all))
		}
	}
	part(int64(amount.CPU), int64(capacity.CPU))
	part(int64(amount.Memory), int64(capacity.Memory))
	part(int64(amount.Accelerators), int64(capacity.Accelerators))
	return share
}
