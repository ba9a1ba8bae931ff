package main

import (
	"context"
	"fmt"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// mayWait is how long a job may be left waiting while a machine that fits has room and its team is under its
// limit.
const mayWait = 90 * time.Second

// waitingCheck watches for a job that is left waiting.
type waitingCheck struct {
	world     *world
	spec      *wire.JobSpec
	underTeam func() bool // reports whether the job's team is under its limit with one more task
}

// run watches until the job is over or runs whole, or until it has been left waiting for too long. It asks for the
// job every 5 s, as users do.
func (c *waitingCheck) run(ctx context.Context) (broken []string, err error) {
	w := c.world
	var since, asked time.Time
	for node := 0; ; {
		if time.Since(asked) > 5*time.Second {
			asked = time.Now()
			if a := w.poll(ctx, node, c.spec.UID); a.view.Status.Final() {
				return nil, nil
			}
			node = (node + 1) % controllers
		}
		missing, room := c.missingTasks(), c.machineWithRoom()
		switch {
		case missing == 0 || room == nil || !c.underTeam():
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
			w.rec.printf("check: %d tasks of %s wait, %s has room for one, the team is under its limit", missing, c.spec.UID, room.host)
		case time.Since(since) > mayWait:
			return []string{fmt.Sprintf("%s was accepted, %d of its %d tasks have waited for %.0f s while %s has had room for one",
				c.spec.UID, missing, c.spec.TaskCount, time.Since(since).Seconds(), room.host)}, nil
		}
		if !sleep(ctx, 100*time.Millisecond) {
			return nil, fmt.Errorf("%w: the time is over", errCouldNotRun)
		}
	}
}

// missingTasks returns how many tasks of the job are neither done nor on a machine.
func (c *waitingCheck) missingTasks() int {
	placed := map[string]bool{}
	for _, m := range c.world.cloud.all() {
		for _, leg := range m.legsOf(c.spec.UID) {
			placed[leg] = true
		}
	}
	missing := 0
	for i := range c.spec.TaskCount {
		if leg := wire.TaskName(c.spec.UID, i); !placed[leg] && !c.world.hasResult(leg) {
			missing++
		}
	}
	return missing
}

// machineWithRoom returns a machine that may run a task of the job and has room for one, or nil.
func (c *waitingCheck) machineWithRoom() *machine {
	for _, m := range c.world.cloud.all() {
		if m.freeFor(c.spec) {
			return m
		}
	}
	return nil
}
