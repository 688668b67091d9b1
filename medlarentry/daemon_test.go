package medlarentry_test

import (
	"errors"
	"os"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"

	"medlarwheel/medlaroperator"
)

func readHoldTemplate(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../examples/hut-hold.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against a path that does not carry a hold through two data centres once, with its duplicates, its refusal and an
// orderly stop.
func TestCallRunsAtMostOnceAcrossTwoDataCentres(t *testing.T) {
	w := newTestCluster(t)
	w.startUpstream("dc-1")
	w.startUpstream("dc-2")
	first, second := w.startEntry("dc-1"), w.startEntry("dc-2")
	if _, err := w.publishTemplate(first, readHoldTemplate(t), 0); err != nil {
		t.Fatal(err)
	}
	w.waitFor("capacity", func() bool {
		return outcomeHeader(w.submitHold(first, "warm-up", "dc-1:a")) == "done" && outcomeHeader(w.submitHold(second, "warm-up", "dc-2:b")) == "done"
	})
	one, other := w.submitHold(first, "coast", "dc-1:same"), w.submitHold(second, "coast", "dc-1:same")
	if outcomeHeader(one) != "done" || outcomeHeader(other) != "done" || string(one.Body()) != string(other.Body()) {
		t.Fatalf("got %q %q and %q %q", outcomeHeader(one), one.Body(), outcomeHeader(other), other.Body())
	}
	if foreign := w.submitHold(first, "inland", "dc-1:same"); outcomeHeader(foreign) != "done" || string(foreign.Body()) == string(one.Body()) {
		t.Fatalf("another account got %q %q", outcomeHeader(foreign), foreign.Body())
	}
	w.stopEntry(second)
	if cut := w.submitHold(first, "coast", "dc-2:cut"); outcomeHeader(cut) == "done" {
		t.Fatal("a key was run without its claim group")
	}
	if local := w.submitHold(first, "coast", "dc-1:local"); outcomeHeader(local) != "done" {
		t.Fatalf("got %q %q for a local key", outcomeHeader(local), local.Header.Peek("Medlar-Reason"))
	}
}

// Guards against two operators who both believe that they have won, and against a change that does not name the winner.
func TestConcurrentPublishReportsConflictWithWinner(t *testing.T) {
	w := newTestCluster(t)
	first, second := w.startEntry("dc-1"), w.startEntry("dc-2")
	template := readHoldTemplate(t)
	var group sync.WaitGroup
	failures := make(chan error, 2)
	for _, e := range []*entryProcess{first, second} {
		group.Go(func() {
			_, err := w.publishTemplate(e, template, 0)
			failures <- err
		})
	}
	group.Wait()
	one, two := <-failures, <-failures
	if one == nil {
		one, two = two, one
	}
	var failure *medlaroperator.Error
	if two != nil || !errors.As(one, &failure) || failure.Conflict == nil || failure.Conflict.Author != "ada" || failure.Conflict.Actual != 1 {
		t.Fatalf("got %v and %v, want one success and one conflict that names version 1 by ada", one, two)
	}
}

// Guards against a bad template that is reported fault by fault or changes anything.
func TestInvalidTemplateReportsEveryFault(t *testing.T) {
	w := newTestCluster(t)
	e := w.startEntry("dc-1")
	_, err := w.publishTemplate(e, `{"name":"hut-hold","kind":"service","class":"soon","defaults":{"weight":0,"guaranteed-slots":0,"queue-limit":0,"quota":{}}}`, 0)
	var failure *medlaroperator.Error
	if !errors.As(err, &failure) || failure.Code != medlaroperator.CodeBadInput || len(failure.Faults) != 3 {
		t.Fatalf("got %v, want three faults", err)
	}
	if code := statusCode(e.address, medlaroperator.PathTemplates+"/hut-hold"); code != fasthttp.StatusNotFound {
		t.Fatalf("status %d, want 404", code)
	}
}
