package medlarplatform

import (
	"context"

	"github.com/pkg/errors"

	"medlarwheel"
)

// RowReader reads single rows. *Client is one.
type RowReader interface {
	Row(ctx context.Context, key string) (medlarwheel.Row, error)
}

// RowOrEmpty reads a row, or returns one of version zero for a row that does not exist.
func RowOrEmpty(ctx context.Context, table RowReader, key string) (medlarwheel.Row, error) {
	row, err := table.Row(ctx, key)
	if errors.Is(err, medlarwheel.ErrNotFound) {
		return medlarwheel.Row{Key: key}, nil
	}
	return row, err
}

// ChangeReader reads pages of changed rows. *Client is one.
type ChangeReader interface {
	Changes(ctx context.Context, prefix string, after medlarwheel.RowVersion, limit int) (medlarwheel.ChangePage, error)
}

// AllChanges reads every page of the rows below prefix that changed after a version, and returns the version to read on
// from. After an error that is the version it was called with.
func AllChanges(ctx context.Context, table ChangeReader, prefix string, after medlarwheel.RowVersion,
) ([]medlarwheel.Row, medlarwheel.RowVersion, error) {
	var rows []medlarwheel.Row
	next := after
	for {
		page, err := table.Changes(ctx, prefix, next, MaxPageRows)
		if err != nil {
			return nil, after, err
		}
		rows, next = append(rows, page.Rows...), page.Next
		if !page.More {
			return rows, next, nil
		}
	}
}
