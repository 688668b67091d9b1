// Package medlartimeline prints the timeline of one submission from the logs of all instances.
//
// It reads JSON lines, with or without a prefix, keeps those that name the submission, and adds the changes of ownership and
// configuration that fall between them, because these explain delays that the submission's own lines do not explain.
//
// # Usage
//
//	timeline, err := medlartimeline.Read(id, readers...)
//	err = timeline.Print(os.Stdout)
package medlartimeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"medlarwheel/internal/acceptance/medlarsubmission"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// contextEvents lists the events that are shown although they do not name a submission.
var contextEvents = map[string]bool{
	"cell-claimed": true, "owner-started": true, "cell-loaded": true, "takeover-settled": true, "worker-not-awaited": true, "ownership-ended": true, "owner-process-ended": true,
	"owner-superseded": true, "authority-not-extended": true, "worker-silent": true, "worker-lease-ended": true,
	"worker-restarted": true, "worker-suspended": true, "config-in-force": true, "log-lines-dropped": true,
}

// logLine is a parsed log line.
type logLine struct {
	Time     time.Time           `json:"time"`
	Instance string              `json:"instance"`
	Event    string              `json:"event"`
	ID       medlarsubmission.ID `json:"id"`
	Worker   string              `json:"worker"`
	Task     string              `json:"task"`
	Run      uint64              `json:"run"`
	Outcome  string              `json:"outcome"`
	Reason   string              `json:"reason"`
	Error    string              `json:"error"`
	Count    int                 `json:"count"`
	AgeMS    int64               `json:"age-ms"`
	TookMS   int64               `json:"took-ms"`
	Term     uint64              `json:"term"`
	sequence int
}

// Timeline is the list of log lines about a submission, with events that explain its delays.
type Timeline struct {
	ID    medlarsubmission.ID
	lines []logLine
	// unreadable counts the lines with invalid JSON.
	unreadable int
}

// Read collects the log lines about a submission.
func Read(id medlarsubmission.ID, logs ...io.Reader) (*Timeline, error) {
	t := &Timeline{ID: id}
	var context []logLine
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			l, ok := t.parseLine(scanner.Bytes())
			switch {
			case !ok:
			case l.ID == id:
				t.lines = append(t.lines, l)
			case contextEvents[l.Event]:
				context = append(context, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, errors.Wrap(err, "read log of an instance")
		}
	}
	if len(t.lines) == 0 {
		return t, nil
	}
	t.addContextEvents(context)
	return t, nil
}

func (t *Timeline) parseLine(text []byte) (logLine, bool) {
	var l logLine
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return l, false
	}
	if err := json.Unmarshal(text[start:], &l); err != nil {
		t.unreadable++
		return l, false
	}
	l.sequence = len(t.lines)
	return l, true
}

// addContextEvents adds the context events between the first and the last line of the submission, except those of
// workers that it did not use.
func (t *Timeline) addContextEvents(context []logLine) {
	t.sort()
	first, last := t.lines[0].Time, t.lines[len(t.lines)-1].Time
	workers := map[string]bool{"": true}
	for _, l := range t.lines {
		workers[l.Worker] = true
	}
	for _, l := range context {
		if !l.Time.Before(first) && !l.Time.After(last) && workers[l.Worker] {
			t.lines = append(t.lines, l)
		}
	}
	t.sort()
}

func (t *Timeline) sort() {
	slices.SortStableFunc(t.lines, func(a, b logLine) int {
		if d := a.Time.Compare(b.Time); d != 0 {
			return d
		}
		return a.sequence - b.sequence
	})
}

// Print writes one line for each event, with the time since the first one.
func (t *Timeline) Print(out io.Writer) error {
	if len(t.lines) == 0 {
		_, err := fmt.Fprintf(out, "no line names %s; look at the logs of all instances from before its hand-in\n", t.ID)
		return err
	}
	first := t.lines[0].Time
	if _, err := fmt.Fprintf(out, "%s, first line at %s\n", t.ID, first.Format(time.RFC3339)); err != nil {
		return err
	}
	for _, l := range t.lines {
		if _, err := fmt.Fprintf(out, "%8.3fs  %-20s %-24s %s\n", l.Time.Sub(first).Seconds(), l.Instance, l.Event, l.details()); err != nil {
			return err
		}
	}
	if t.unreadable > 0 {
		_, err := fmt.Fprintf(out, "%d lines could not be read\n", t.unreadable)
		return err
	}
	return nil
}

func (l *logLine) details() string {
	var parts []string
	add := func(name string, value any, present bool) {
		if present {
			parts = append(parts, fmt.Sprintf("%s %v", name, value))
		}
	}
	add("task", l.Task, l.Task != "")
	add("run", l.Run, l.Run > 0)
	add("on", l.Worker, l.Worker != "")
	add("term", l.Term, l.Term > 0)
	add("outcome", l.Outcome, l.Outcome != "")
	add("because", l.Reason, l.Reason != "")
	add("error", l.Error, l.Error != "")
	add("count", l.Count, l.Count != 0)
	add("age", time.Duration(l.AgeMS)*time.Millisecond, l.AgeMS != 0)
	add("took", time.Duration(l.TookMS)*time.Millisecond, l.TookMS != 0)
	return strings.Join(parts, ", ")
}
