// Command cases runs one case of the review: stand-ins of the state service, the cloud, the machines and the
// users on loopback, and three controllers as processes of their own. It exits with 1 if the rule of the case
// was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// maxDuration ends a case that takes longer than a review script may.
const maxDuration = 117 * time.Second

// errCouldNotRun means that a case did not get as far as its check.
var errCouldNotRun = errors.New("the case could not run")

// A scenario returns the ways in which the rule of its case was broken, or an error if it could not run.
type scenario func(ctx context.Context, w *world) (broken []string, err error)

// scenarios lists the cases by name, with the deployment that each runs in.
var scenarios = map[string]struct {
	run        scenario
	deployment deployment
}{
	"together": {runTogether, ferrovalle()},
	"window":   {runWindow, ferrovalle()},
	"fields":   {runFields, ferrovalle()},
	"pipeline": {runPipeline, ferrovalle()},
}

func main() {
	name := flag.String("case", "", "name of the case")
	command := flag.String("run", "", "command of the deploy file that starts a controller, without the settings file")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	status, err := runCase(*name, *command, *recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cases:", err)
	}
	os.Exit(status)
}

// runCase runs a case and returns the exit status.
func runCase(name, command, recordPath string) (status int, err error) {
	chosen, ok := scenarios[name]
	if !ok || command == "" {
		return exitCouldNot, fmt.Errorf("%w: no case %q or no command", errCouldNotRun, name)
	}
	rec, err := newRecorder(recordPath)
	if err != nil {
		return exitCouldNot, err
	}
	defer rec.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	w, err := newWorld(ctx, rec, &chosen.deployment, command)
	if err != nil {
		rec.printf("could not run: %v", err)
		return exitCouldNot, err
	}
	defer w.close()
	broken, err := chosen.run(ctx, w)
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		return exitCouldNot, err
	case len(broken) > 0:
		for _, line := range broken {
			rec.printf("RULE BROKEN: %s", line)
			fmt.Println("rule broken:", line)
		}
		return exitBroken, nil
	}
	rec.printf("rule held")
	fmt.Println("rule held")
	return exitHeld, nil
}

// hasTrouble reports whether the case runs with its disruption: TROUBLE=0 leaves it out.
func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }
