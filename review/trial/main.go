// Command trial plays one case of the review against the real program: three controllers as processes of their own on
// loopback, and the stand-ins of package simcluster around them. Its exit status is 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run. With TROUBLE=0 it plays the same without the disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit statuses.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// maxRun bounds a run.
const maxRun = 118 * time.Second

// trial is a case: it returns what broke the rule, or "" if the rule held.
type trial struct {
	machines int
	teams    string
	play     func(d *deployment, trouble bool) (violation string, err error)
}

var trials = map[string]trial{
	"huge-array": {machines: 3, teams: oneTeam, play: hugeArrays},
	"idle-room":  {machines: 3, teams: oneTeam, play: idleRoom},
	"queued":     {machines: 3, teams: oneTeam, play: queuedWhileRunning},
	"guarantee":  {machines: 1, teams: twoTeams, play: borrowed},
	"window":     {machines: 3, teams: oneTeam, play: beyondWindow},
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that args name, and returns the exit status. args are the case's name and the folder of its record.
func run(args []string) int {
	if len(args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: trial CASE FOLDER")
		return cannotRun
	}
	t, ok := trials[args[0]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", args[0])
		return cannotRun
	}
	r, err := newRecord(args[1] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	dir, err := os.MkdirTemp("", "trial-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRun)
	defer cancel()
	violation, err := play(ctx, t, dir, r)
	switch {
	case err != nil:
		r.logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return cannotRun
	case violation != "":
		r.logf("BROKEN: %s", violation)
		fmt.Println("broken:", violation)
		return broken
	}
	r.logf("the rule held")
	fmt.Println("held")
	return held
}

// startAttempts is how many deployments are started until one gets ready, in case that another program takes a port first.
const startAttempts = 2

// play starts a deployment, plays a case in it and ends it.
func play(ctx context.Context, t trial, dir string, r *record) (violation string, err error) {
	for range startAttempts {
		var d *deployment
		if d, err = startDeployment(ctx, dir, r, t); err == nil {
			violation, err = t.play(d, os.Getenv("TROUBLE") != "0")
			d.stop()
			return violation, err
		}
		r.logf("%v", err)
		d.logTails()
		d.stop()
	}
	return "", err
}

// startDeployment starts a deployment and waits until it is ready.
func startDeployment(ctx context.Context, dir string, r *record, t trial) (*deployment, error) {
	d, err := newDeployment(ctx, dir, r, t)
	if err == nil {
		err = d.awaitReady(5 * time.Second) //nolint:contextcheck // the deployment has ctx
	}
	return d, err
}
