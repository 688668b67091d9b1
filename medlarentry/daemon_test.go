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

// Guards against a call that runs more than once or not at all with instances in two data centres: a duplicate at the other
// instance must get the response of the first attempt, the same key of another account must run separately, and a key whose
// claim group has shut down must be refused while local keys still run.
func TestCallRunsAtMostOnceAcrossTwoDataCentres(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.startUpstream("dc-1")
	cluster.startUpstream("dc-2")
	first, second := cluster.startEntry("dc-1"), cluster.startEntry("dc-2")
	if _, err := cluster.publishTemplate(first, readHoldTemplate(t), 0); err != nil {
		t.Fatal(err)
	}
	cluster.waitFor("capacity", func() bool {
		return outcomeHeader(cluster.submitHold(first, "warm-up", "dc-1:a")) == "done" && outcomeHeader(cluster.submitHold(second, "warm-up", "dc-2:b")) == "done"
	})
	original, duplicate := cluster.submitHold(first, "coast", "dc-1:same"), cluster.submitHold(second, "coast", "dc-1:same")
	if outcomeHeader(original) != "done" || outcomeHeader(duplicate) != "done" || string(original.Body()) != string(duplicate.Body()) {
		t.Fatalf("original got %q %q and duplicate got %q %q, want done and equal bodies", outcomeHeader(original), original.Body(), outcomeHeader(duplicate), duplicate.Body())
	}
	if otherAccount := cluster.submitHold(first, "inland", "dc-1:same"); outcomeHeader(otherAccount) != "done" || string(otherAccount.Body()) == string(original.Body()) {
		t.Fatalf("the same key of another account got %q %q, want done and a body of its own", outcomeHeader(otherAccount), otherAccount.Body())
	}
	cluster.stopEntry(second)
	if unreachable := cluster.submitHold(first, "coast", "dc-2:cut"); outcomeHeader(unreachable) == "done" {
		t.Fatal("the key dc-2:cut ran although its claim group has shut down")
	}
	if local := cluster.submitHold(first, "coast", "dc-1:local"); outcomeHeader(local) != "done" {
		t.Fatalf("local key got %q with reason %q, want done", outcomeHeader(local), local.Header.Peek("Medlar-Reason"))
	}
}

// Guards against concurrent changes of one entry that both succeed, and against a conflict that does not name the version
// and author of the change that succeeded.
func TestConcurrentPublishReportsConflictWithWinner(t *testing.T) {
	cluster := newTestCluster(t)
	first, second := cluster.startEntry("dc-1"), cluster.startEntry("dc-2")
	template := readHoldTemplate(t)
	var group sync.WaitGroup
	failures := make(chan error, 2)
	for _, e := range []*entryProcess{first, second} {
		group.Go(func() {
			_, err := cluster.publishTemplate(e, template, 0)
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

// Guards against an invalid template of which only the first fault is reported, or that is published nevertheless.
func TestInvalidTemplateReportsEveryFault(t *testing.T) {
	cluster := newTestCluster(t)
	e := cluster.startEntry("dc-1")
	_, err := cluster.publishTemplate(e, `{"name":"hut-hold","kind":"service","class":"soon","defaults":{"weight":0,"guaranteed-slots":0,"queue-limit":0,"quota":{}}}`, 0)
	var failure *medlaroperator.Error
	if !errors.As(err, &failure) || failure.Code != medlaroperator.CodeBadInput || len(failure.Faults) != 3 {
		t.Fatalf("publishing an invalid template: got %v, want three faults", err)
	}
	if code := statusCode(e.address, medlaroperator.PathTemplates+"/hut-hold"); code != fasthttp.StatusNotFound {
		t.Fatalf("template hut-hold: got status %d, want 404", code)
	}
}
