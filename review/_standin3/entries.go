package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// entryRow is a row of the list of workers.
type entryRow struct {
	Key   string
	Value []byte
}

// entries reads the list of workers.
func (w *world) entries() ([]entryRow, error) {
	address, err := w.storeAddress()
	if err != nil {
		return nil, err
	}
	response, err := http.Get("http://" + address + "/v1/rows-get?table=servers&part=")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	var page struct{ Rows []entryRow }
	return page.Rows, json.Unmarshal(data, &page)
}

// completeEntries adds the fields of the pages that the emulator leaves out of the entries of its workers, and replaces the kind
// in the entries of the workers in kinds.
func (w *world) completeEntries(kinds map[string]string) error {
	rows, err := w.entries()
	if err != nil {
		return err
	}
	for _, r := range rows {
		var entry map[string]any
		if err := json.Unmarshal(r.Value, &entry); err != nil {
			return err
		}
		if entry["version"] != nil {
			continue
		}
		entry["version"], entry["slots"], entry["seq"], entry["coldRemainingMs"] = "1", 8, 1, 0
		if kind := kinds[r.Key]; kind != "" {
			labels, _ := entry["labels"].([]any)
			if len(labels) == 0 {
				return fmt.Errorf("the entry of worker %s has no labels", r.Key)
			}
			labels[0] = kind
		}
		value, err := json.Marshal(entry)
		if err != nil {
			return err
		}
		w.emulator.Table.Put("servers", r.Key, value)
		w.note("worker %s registers as %s", r.Key, value)
	}
	return nil
}
