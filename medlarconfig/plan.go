package medlarconfig

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"medlarwheel"
)

// HeadKey is the key of the table row that holds the version of the last committed change.
const HeadKey = "config/head"

// RowPrefix is the key prefix of every configuration row in the table.
const RowPrefix = "config/"

// Head is the value of the head row.
type Head struct {
	Version medlarwheel.ConfigVersion `json:"version"`
	Author  medlarwheel.Author        `json:"author"`
	Key     string                    `json:"key"`
}

// Change is one configuration change that an operator requests.
type Change struct {
	Author medlarwheel.Author `json:"author"`
	// ExpectedVersion is the version of the item that the operator last read. Zero means that the item must not
	// exist.
	ExpectedVersion medlarwheel.ConfigVersion `json:"expected"`
	Key             string                    `json:"key"`
	Withdrawn       bool                      `json:"withdrawn,omitempty"`
	Template        *medlarwheel.Template     `json:"template,omitempty"`
	Account         *medlarwheel.Account      `json:"account,omitempty"`
}

// Check reports every fault of c.
func (c *Change) Check() medlarwheel.Faults {
	item := c.item(1)
	faults := item.Check()
	if c.Author == "" {
		faults = faults.Add("author", "empty", "the name of the operator")
	}
	return faults
}

func (c *Change) item(version medlarwheel.ConfigVersion) medlarwheel.ConfigItem {
	return medlarwheel.ConfigItem{
		Key: c.Key, Version: version, Author: c.Author, Withdrawn: c.Withdrawn, Template: c.Template, Account: c.Account,
	}
}

// VersionConflict reports that an item has another version than the operator expected. It names the author of
// that version.
type VersionConflict struct {
	Key      string                    `json:"key"`
	Expected medlarwheel.ConfigVersion `json:"expected"`
	Actual   medlarwheel.ConfigVersion `json:"actual"`
	Author   medlarwheel.Author        `json:"author"`
}

// Error names the item, both versions and the author of the current one.
func (e *VersionConflict) Error() string {
	return fmt.Sprintf("%s: expected version %d, but version %d by %q is in force", e.Key, e.Expected, e.Actual, e.Author)
}

// CurrentRows holds the table rows on which a change is planned. A missing row has version zero.
type CurrentRows struct {
	Head medlarwheel.Row
	Item medlarwheel.Row
}

// PlannedChange holds the conditional writes of a change.
type PlannedChange struct {
	Version medlarwheel.ConfigVersion
	Writes  []medlarwheel.Write
}

// Plan returns the conditional writes that commit a change on top of the current rows. It returns a *VersionConflict
// if another change of the item has already been committed.
func Plan(current CurrentRows, change Change) (PlannedChange, error) {
	if err := change.Check().Err(); err != nil {
		return PlannedChange{}, err
	}
	head, err := decodeRow[Head](current.Head)
	if err != nil {
		return PlannedChange{}, errors.WithMessage(err, "decode row "+HeadKey)
	}
	item, err := decodeRow[medlarwheel.ConfigItem](current.Item)
	if err != nil {
		return PlannedChange{}, errors.WithMessage(err, "decode row "+RowPrefix+change.Key)
	}
	if conflict := checkExpectedVersion(item, change); conflict != nil {
		return PlannedChange{}, conflict
	}
	next := head.Version + 1
	headValue, err := json.Marshal(Head{Version: next, Author: change.Author, Key: change.Key})
	if err != nil {
		return PlannedChange{}, errors.WithMessage(err, "encode row "+HeadKey)
	}
	itemValue, err := json.Marshal(change.item(next))
	if err != nil {
		return PlannedChange{}, errors.WithMessage(err, "encode row "+RowPrefix+change.Key)
	}
	return PlannedChange{Version: next, Writes: []medlarwheel.Write{
		{Key: HeadKey, ExpectedVersion: current.Head.Version, Value: headValue},
		{Key: RowPrefix + change.Key, ExpectedVersion: current.Item.Version, Value: itemValue},
	}}, nil
}

// checkExpectedVersion returns a *VersionConflict unless the item in the table has the version that the operator
// expected. A withdrawn item counts as missing.
func checkExpectedVersion(item medlarwheel.ConfigItem, change Change) error {
	if item.Version == change.ExpectedVersion || (item.Withdrawn && change.ExpectedVersion == 0) {
		return nil
	}
	return &VersionConflict{Key: change.Key, Expected: change.ExpectedVersion, Actual: item.Version, Author: item.Author}
}

func decodeRow[T any](row medlarwheel.Row) (T, error) {
	var value T
	if row.Version == 0 || len(row.Value) == 0 {
		return value, nil
	}
	err := json.Unmarshal(row.Value, &value)
	return value, err
}

// DeltaFromRows converts the complete list of configuration rows changed after a version into a delta. The rows must
// include the head row if they include an item. They do, because both are written in one transaction.
func DeltaFromRows(after medlarwheel.ConfigVersion, rows []medlarwheel.Row) (medlarwheel.ConfigDelta, error) {
	delta := medlarwheel.ConfigDelta{After: after, Head: after}
	for _, row := range rows {
		if row.Key == HeadKey {
			head, err := decodeRow[Head](row)
			if err != nil {
				return delta, errors.WithMessage(err, "decode row "+row.Key)
			}
			delta.Head = max(delta.Head, head.Version)
			continue
		}
		item, err := decodeRow[medlarwheel.ConfigItem](row)
		if err != nil {
			return delta, errors.WithMessage(err, "decode row "+row.Key)
		}
		delta.Items = append(delta.Items, item)
	}
	return delta, nil
}
