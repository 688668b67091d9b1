package main

import (
	"fmt"
	"strings"
	"time"
)

// playStartBurst hands large submissions in at once, whose tasks all fit on the servers, and looks at the memory of the processes.
func playStartBurst(w *world, trouble bool) int {
	const (
		instances, servers = 3, 48
		submissions        = 4
		largeTasks         = 15000
		smallTasks         = 30
		taskCPU, taskMemMB = 50, 200
		runTime            = 4 * time.Second
		watched            = 60 * time.Second
	)
	need := size{CPU: taskCPU, MemMB: taskMemMB}
	w.addWorkers(servers, size{CPU: 64000, MemMB: 256000}, func(string) size { return need }, runTime)
	for n := range instances {
		if err := w.addInstance(n, usualShare); err != nil {
			w.record.printf("cannot start an instance: %v", err)
			return unable
		}
	}
	if !w.waitReady(20 * time.Second) {
		w.record.printf("the instances don't answer")
		return unable
	}
	go w.watchMemory()
	time.Sleep(3 * time.Second)
	tasks := smallTasks
	if trouble {
		tasks = largeTasks
	}
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":%d,"memMb":%d,"estimateMs":%d}]}`,
		strings.Repeat("s", 4000), tasks, taskCPU, taskMemMB, runTime.Milliseconds())
	accepted := make([]bool, submissions)
	id := func(n int) string { return fmt.Sprintf("%016x", 0x51000+n) }
	results := make(chan int, submissions)
	for n := range submissions {
		go func() {
			accepted[n] = w.submit(n, id(n), body, 5)
			results <- n
		}()
	}
	for range submissions {
		<-results
	}
	completed := 0
	for end := time.Now().Add(watched); time.Now().Before(end) && completed < submissions; time.Sleep(2 * time.Second) {
		completed = 0
		states := map[string]int{}
		for n := range submissions {
			state := w.state(n, id(n))
			states[state]++
			if strings.Contains(state, "completed") {
				completed++
			}
		}
		w.record.printf("states: %v", states)
	}
	// Fault: on a tenth of the machines in use, two at least, processes end by themselves three times in the day.
	const endsOfFault, machinesOfFault = 3, 2
	faulty := 0
	for _, i := range w.instances {
		peak, ends := i.memoryEnds()
		w.record.printf("%s: peak %d MB, killed for its memory %d times", i.name, peak, ends)
		if ends >= endsOfFault {
			faulty++
		}
	}
	for n := range submissions {
		w.record.printf("submission %s of %d tasks, accepted %t, ends of its runs: %v", id(n), tasks, accepted[n], w.record.endsOf(id(n)))
	}
	w.record.printf("%d of %d submissions completed; processes of %d of %d machines have ended three times or more", completed, submissions, faulty, instances)
	switch {
	case faulty >= machinesOfFault:
		return broken
	case completed < submissions && !trouble:
		return unable
	default:
		return held
	}
}
