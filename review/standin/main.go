// Command standin runs one case of the review: it starts a small deployment with
// stand-ins for clients, workers and the platform, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// limit is the longest that a case may run.
const limit = 115 * time.Second

// cases returns whether the rule was broken. They leave the disruption out if trouble is
// not set.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"holder": runHolder, "late": runLate, "earlier": runEarlier, "lease": runLease, "restart": runRestart, "schedule": runSchedule, "queue": runQueue, "gang": runGang, "pending": runPending,
}

func main() {
	name := flag.String("case", "", "the `case` to run")
	path := flag.String("record", "record.txt", "the `file` that tells what was sent, answered and run")
	flag.Parse()
	os.Exit(runCase(*name, *path))
}

func runCase(name, path string) int {
	runner, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return cannotRun
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	time.AfterFunc(limit, func() {
		rec.note("the case did not end in time")
		os.Exit(cannotRun)
	})
	broken, err := runner(rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.note("the case cannot run: %s", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	case broken:
		fmt.Println("the rule was broken")
		return ruleBroken
	}
	rec.note("the rule held")
	fmt.Println("the rule held")
	return ruleHeld
}
