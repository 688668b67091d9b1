package medlarentry_test

import (
	"errors"
	"os"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"

	"medlarwheel/medlaroperator"
)

func holdTemplate(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../examples/hut-hold.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against a path that does not carry a hold through two data centres once, with its duplicates, its refusal and an
// orderly stop.
func TestHoldThroughTwoDataCentres(t *testing.T) {
	w := newWorld(t)
	w.runner("dc-1")
	w.runner("dc-2")
	first, second := w.entry("dc-1"), w.entry("dc-2")
	if _, err := w.publish(first, holdTemplate(t), 0); err != nil {
		t.Fatal(err)
	}
	w.await("capacity", func() bool {
		return outcome(w.hold(first, "warm-up", "dc-1:a")) == "done" && outcome(w.hold(second, "warm-up", "dc-2:b")) == "done"
	})
	one, other := w.hold(first, "coast", "dc-1:same"), w.hold(second, "coast", "dc-1:same")
	if outcome(one) != "done" || outcome(other) != "done" || string(one.Body()) != string(other.Body()) {
		t.Fatalf("got %q %q and %q %q", outcome(one), one.Body(), outcome(other), other.Body())
	}
	if foreign := w.hold(first, "inland", "dc-1:same"); outcome(foreign) != "done" || string(foreign.Body()) == string(one.Body()) {
		t.Fatalf("another account got %q %q", outcome(foreign), foreign.Body())
	}
	w.end(second)
	if cut := w.hold(first, "coast", "dc-2:cut"); outcome(cut) == "done" {
		t.Fatal("a key was run without its claim group")
	}
	if local := w.hold(first, "coast", "dc-1:local"); outcome(local) != "done" {
		t.Fatalf("got %q %q for a local key", outcome(local), local.Header.Peek("Medlar-Reason"))
	}
}

// Guards against two operators who both believe that they have won, and against a change that does not name the winner.
func TestRacingOperators(t *testing.T) {
	w := newWorld(t)
	first, second := w.entry("dc-1"), w.entry("dc-2")
	template := holdTemplate(t)
	var group sync.WaitGroup
	failures := make(chan error, 2)
	for _, e := range []*entry{first, second} {
		group.Go(func() {
			_, err := w.publish(e, template, 0)
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
func TestBadTemplateListsEveryFault(t *testing.T) {
	w := newWorld(t)
	e := w.entry("dc-1")
	_, err := w.publish(e, `{"name":"hut-hold","kind":"service","class":"soon","defaults":{"weight":0,"guaranteed-slots":0,"queue-limit":0,"quota":{}}}`, 0)
	var failure *medlaroperator.Error
	if !errors.As(err, &failure) || failure.Code != medlaroperator.CodeBadInput || len(failure.Faults) != 3 {
		t.Fatalf("got %v, want three faults", err)
	}
	if code := status(e.address, medlaroperator.PathTemplates+"/hut-hold"); code != fasthttp.StatusNotFound {
		t.Fatalf("status %d, want 404", code)
	}
}
