package medlarsubmission

import (
	"strconv"
	"strings"
)

// TaskName identifies a task by its submission, occurrence, step and index within the step.
type TaskName struct {
	Submission ID
	Occurrence int
	Step       int
	Index      int
}

// taskNameParts is the number of dot-separated parts of a task name.
const taskNameParts = 4

// String returns the name in the form that workers use, such as 5c0e7a21d94b36f8.0.1.2.
func (n TaskName) String() string {
	b := make([]byte, 0, idLength+taskNameParts*4)
	b = append(b, n.Submission...)
	for _, part := range []int{n.Occurrence, n.Step, n.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(part), 10)
	}
	return string(b)
}

// ParseTaskName parses a name that a worker reports.
func ParseTaskName(text string) (TaskName, bool) {
	var name TaskName
	id, rest, ok := strings.Cut(text, ".")
	if !ok {
		return name, false
	}
	name.Submission = ID(id)
	for i, target := range []*int{&name.Occurrence, &name.Step, &name.Index} {
		part, tail, more := strings.Cut(rest, ".")
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 || more == (i == 2) {
			return name, false
		}
		*target, rest = number, tail
	}
	return name, true
}
