package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/simcluster/jsonhttp"
	"lotusstile.dev/lotusstile/wire"
)

const (
	// initialAge is the age of the machines that are up at the start.
	initialAge = 10 * time.Minute
	// deadListedFor is how long a machine that has died still appears as running.
	deadListedFor = 30 * time.Second
)

// cloud is a stand-in of the cloud. It has no capacity beyond the machines that are up at the start.
type cloud struct {
	world   *world
	started time.Time

	mu       sync.Mutex
	machines []*machine
	refused  int
}

func newCloud(w *world) *cloud { return &cloud{world: w, started: time.Now()} }

// addMachine adds a machine that is up.
func (c *cloud) addMachine(ctx context.Context, zone string) error {
	c.mu.Lock()
	host := fmt.Sprintf("m-%06d", 231+len(c.machines))
	c.mu.Unlock()
	m, err := newMachine(ctx, c.world, host, zone)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.machines = append(c.machines, m)
	c.mu.Unlock()
	go m.run(ctx)
	return nil
}

// all lists the machines.
func (c *cloud) all() []*machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.machines)
}

// allAnswered reports whether every machine has had an answer with a token.
func (c *cloud) allAnswered() bool {
	for _, m := range c.all() {
		if m.highestToken() == 0 {
			return false
		}
	}
	return true
}

// stopAll ends all machines.
func (c *cloud) stopAll() {
	for _, m := range c.all() {
		m.end(&m.returnedAt)
	}
}

// ServeHTTP serves the protocol of the cloud.
func (c *cloud) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/catalog":
		jsonhttp.Reply(rw, http.StatusOK, wire.Catalog{MachineTypes: []wire.MachineType{c.world.deployment.machineType}})
	case r.URL.Path == "/machines" && r.Method == http.MethodPost:
		c.mu.Lock()
		c.refused++
		first := c.refused == 1
		c.mu.Unlock()
		if first {
			c.world.rec.printf("cloud: a request for machines is answered 503 no capacity, as all later ones")
		}
		jsonhttp.Reply(rw, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "no capacity"})
	case r.URL.Path == "/machines/return":
		c.serveReturn(rw, r)
	case r.URL.Path == "/machines":
		c.serveList(rw, r)
	default:
		jsonhttp.Reply(rw, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
	}
}

// serveReturn ends the machines that a controller returns.
func (c *cloud) serveReturn(rw http.ResponseWriter, r *http.Request) {
	var request wire.HostNames
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Hosts) > wire.MaxRelease {
		jsonhttp.Reply(rw, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	for _, m := range c.all() {
		if slices.Contains(request.Hosts, m.host) && m.end(&m.returnedAt) {
			c.world.rec.printf("cloud: %s is returned", m.host)
		}
	}
	jsonhttp.Reply(rw, http.StatusOK, struct{}{})
}

// serveList lists the machines. Those that were returned stay listed for as long as the list lags.
func (c *cloud) serveList(rw http.ResponseWriter, r *http.Request) {
	lag := time.Duration(c.world.deployment.listS * float64(time.Second))
	list := wire.HostList{Hosts: []wire.ListedHost{}}
	for _, m := range c.all() {
		diedAt, returnedAt := m.ends()
		if m.host <= r.URL.Query().Get("After") || !returnedAt.IsZero() && time.Since(returnedAt) > lag {
			continue
		}
		status := wire.HostRunning
		if !diedAt.IsZero() && time.Since(diedAt) > deadListedFor {
			status = wire.HostFailed
		}
		list.Hosts = append(list.Hosts, wire.ListedHost{
			UID: m.host, Address: m.address, MachineType: c.world.deployment.machineType.Name, Zone: m.zone,
			Status: status, AgeS: (initialAge + time.Since(c.started) - lag).Seconds(),
		})
	}
	jsonhttp.Reply(rw, http.StatusOK, list)
}
