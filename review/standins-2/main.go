package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// options are the command line of a case.
type options struct {
	// program is the path of lsentry, record that of the file to write.
	program, record string
	// trouble is set if the disturbance is to be caused.
	trouble bool
}

// playFunc plays a case on a fleet and reports whether the rule was broken. An error means that the case couldn't run.
type playFunc func(f *fleet, trouble bool) (broken bool, err error)

// caseSpec is a case and the deployment that it needs.
type caseSpec struct {
	play       playFunc
	deployment deployment
}

func main() {
	if len(os.Args) < 2 {
		fail("the name of a case or \"engine\" is missing")
	}
	name, arguments := os.Args[1], os.Args[2:]
	if name == "engine" {
		runEngine(arguments)
		return
	}
	spec, ok := cases[name]
	if !ok {
		fail("unknown case %q, known are %s", name, strings.Join(caseNames(), ", "))
	}
	set := flag.NewFlagSet(name, flag.ExitOnError)
	var o options
	set.StringVar(&o.program, "program", "target/lsentry", "path of lsentry")
	set.StringVar(&o.record, "record", "record.txt", "file to write")
	set.BoolVar(&o.trouble, "trouble", true, "cause the disturbance")
	_ = set.Parse(arguments) // It exits after an error.
	os.Exit(run(spec, o))
}

func fail(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, "review-standins-2: "+format+"\n", arguments...)
	os.Exit(exitFailed)
}

func caseNames() []string {
	var names []string
	for name := range cases {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// maxTime bounds a case.
const maxTime = 110 * time.Second

// stopEarly ends all processes and this one after maxTime, or after a signal.
func stopEarly(f *fleet) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		f.printf("the case couldn't run: it was stopped")
		f.endProcesses()
		os.Exit(exitFailed)
	}()
}

// run plays a case and returns its exit code.
func run(spec caseSpec, o options) int {
	r, err := newRecord(o.record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-standins-2:", err)
		return exitFailed
	}
	defer r.close()
	r.printf("disturbance: %t", o.trouble)
	f, err := newFleet(spec.deployment, o.program, r)
	if f != nil {
		defer f.close()
		stopEarly(f)
	}
	broken := false
	if err == nil {
		broken, err = spec.play(f, o.trouble)
	}
	switch {
	case err != nil:
		r.printf("the case couldn't run: %v", err)
		return exitFailed
	case broken:
		r.printf("result: the rule was broken")
		return exitBroken
	}
	r.printf("result: the rule held")
	return exitHeld
}
