package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/boottime"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// rentingCloud rents machines one by one.
type rentingCloud struct {
	limitedCloud
	rented int
}

func (r *rentingCloud) Rent(_ context.Context, req wire.RentRequest) ([]string, error) {
	r.rented++
	return []string{fmt.Sprintf("m-9%05d", r.rented)}, nil
}

// In an hour in which machines take three times as long as the catalog says, a leader goes on
// counting on those that boot once it has seen some come up, and rents no others in their place; in
// other zones, and once boots are usual again, it does not wait as long. One that never comes up is
// given up in any hour. With a fixed multiple it took every one of them for late, and paid twice.
func TestLateMachinesAreCountedOn(t *testing.T) {
	now := time.Unix(10_000, 0)
	_, c, _ := leaderWithArray(t, &now, 1, 1, fleet.Res{Cores: 1, RAM: 1})
	c.steady = now.Add(-time.Hour)
	cloud := &rentingCloud{limitedCloud: c.Cloud.(limitedCloud)}
	c.Cloud = cloud
	bootS := c.machineType("g8").BootS
	rent := func(zone string) *fleet.Machine {
		booking := fmt.Sprint("b-", cloud.rented)
		c.rent(t.Context(), &rental{wire.RentRequest{Booking: booking, MachineType: "g8", Zone: zone, HowMany: 1}})
		return c.fleet.Get(fmt.Sprintf("m-9%05d", cloud.rented))
	}
	comeUp := func(zone string, times, boots float64) {
		for range int(times) {
			m := rent(zone)
			now = now.Add(time.Duration(boots * bootS * float64(time.Second)))
			c.fleet.Report(&wire.Report{Host: m.ID, MachineType: "g8", Zone: zone, Session: 1, Sequence: 1, Token: c.term}, now)
		}
	}
	countedOn := func(zone string) float64 {
		m := rent(zone)
		return c.countedOnUntil(m).Sub(m.Born).Seconds() / bootS
	}
	usual := countedOn("a")
	comeUp("a", 8, 3)
	if late := countedOn("a"); usual > 2 || late < 3 {
		t.Errorf("a machine is counted on for %.2f boots, and for %.2f once others took 3", usual, late)
	}
	if other := countedOn("b"); other != usual {
		t.Errorf("in another zone it is counted on for %.2f", other)
	}
	m := rent("a")
	d := c.doubtsOf(c.lookAround(now), now.Add(time.Duration(6.1*bootS*float64(time.Second))))
	if !d.neverCameUp(m) {
		t.Errorf("one that never comes up is waited for, for up to %.2f boots", c.boots.SurelyWithin(boottime.Group{Type: "g8", Zone: "a"}))
	}
	comeUp("a", 40, 1)
	if again := countedOn("a"); again > 2 {
		t.Errorf("after usual boots again, a machine is counted on for %.2f boots", again)
	}
}
