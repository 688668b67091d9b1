package medlarquota

import (
	"time"

	"medlarwheel"
)

// TeamName identifies a team.
type TeamName string

// TeamLimit holds the quota of a team and its weight for fair sharing.
type TeamLimit struct {
	Quota  medlarwheel.Resources
	Weight medlarwheel.Weight
}

// AccountLimit holds the quota of a client account and the quotas of its templates.
type AccountLimit struct {
	Quota     medlarwheel.Resources
	Templates map[medlarwheel.TemplateName]medlarwheel.Resources
}

// Usage is an amount of resources that tasks of one template of an account use or request.
type Usage struct {
	Team      TeamName                 `json:"team"`
	Account   medlarwheel.AccountID    `json:"account"`
	Template  medlarwheel.TemplateName `json:"template"`
	Resources medlarwheel.Resources    `json:"resources"`
}

// Item is a pending task, or a pending gang with the resources of all its tasks together.
type Item struct {
	// ID identifies the task, or the first task of the gang.
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

// WithinQuota reports whether an amount does not exceed a quota. Components of the quota that are zero set no limit.
func WithinQuota(amount, quota medlarwheel.Resources) bool {
	return (quota.CPU == 0 || amount.CPU <= quota.CPU) &&
		(quota.Memory == 0 || amount.Memory <= quota.Memory) &&
		(quota.Accelerators == 0 || amount.Accelerators <= quota.Accelerators)
}

// dominantShare returns the largest fraction of the capacity that an amount has of any resource.
func dominantShare(amount, capacity medlarwheel.Resources) float64 {
	share := 0.0
	compare := func(used, all int64) {
		if all > 0 {
			share = max(share, float64(used)/float64(all))
		}
	}
	compare(int64(amount.CPU), int64(capacity.CPU))
	compare(int64(amount.Memory), int64(capacity.Memory))
	compare(int64(amount.Accelerators), int64(capacity.Accelerators))
	return share
}
