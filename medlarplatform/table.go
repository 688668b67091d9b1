package medlarplatform

import (
	"context"

	"github.com/pkg/errors"

	"medlarwheel"
)

// RowReader reads single rows. *Client implements it.
type RowReader interface {
	Row(ctx context.Context, key string) (medlarwheel.Row, error)
}

// RowOrEmpty reads a row. For a row that does not exist it returns a Row with the key and version zero.
func RowOrEmpty(ctx context.Context, table RowReader, key string) (medlarwheel.Row, error) {
	row, err := table.Row(ctx, key)
	if errors.Is(err, medlarwheel.ErrNotFound) {
		return medlarwheel.Row{Key: key}, nil
	}
	return row, err
}

// ChangeReader reads pages of changed rows. *Client implements it.
type ChangeReader interface {
	Changes(ctx context.Context, prefix string, after medlarwheel.RowVersion, limit int) (medlarwheel.ChangePage, error)
}

// AllChanges reads all pages of the rows with the key prefix that changed after a version. It also returns the version
// from which to continue, which after an error is the version passed in.
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
