package cloud

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// lister is a fake cloud that lists machines.
type lister struct {
	names  []string
	before func(call int)                      // called before a page is listed, if not nil
	change func(call int, page *wire.HostList) // changes the page before it is sent, if not nil
	calls  int
}

// RoundTrip answers a page of the list.
func (l *lister) RoundTrip(r *http.Request) (*http.Response, error) {
	l.calls++
	if l.before != nil {
		l.before(l.calls)
	}
	query := r.URL.Query()
	most, err := strconv.Atoi(query.Get("Most"))
	if err != nil {
		return nil, err
	}
	var page wire.HostList
	for _, name := range l.names {
		if name > query.Get("After") {
			page.More = len(page.Hosts) == most
			if page.More {
				break
			}
			page.Hosts = append(page.Hosts, wire.ListedHost{UID: name})
		}
	}
	if l.change != nil {
		l.change(l.calls, &page)
	}
	body, err := json.Marshal(page)
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body))}, nil
}

func machineNames(from, to int) []string {
	var names []string
	for i := from; i < to; i++ {
		names = append(names, fmt.Sprintf("m-%06d", i))
	}
	return names
}

// Every machine of a large fleet that exists throughout is listed, while others are created and
// removed between the pages, and lists leave calls for provisioning.
func TestLargeFleetIsListedWhileMachinesComeAndGo(t *testing.T) {
	for _, machines := range []int{4096, 6000} {
		synctest.Test(t, func(t *testing.T) {
			l := &lister{names: machineNames(0, machines)}
			l.before = func(call int) {
				l.names = append(l.names[1:], fmt.Sprintf("m-%06d", machines+call))
			}
			c := New("cloud", 8, time.Second, l)
			began := time.Now()
			hosts, err := c.List(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			names := make([]string, 0, len(hosts))
			for _, h := range hosts {
				names = append(names, h.UID)
			}
			for _, name := range machineNames(l.calls, machines) {
				if _, found := slices.BinarySearch(names, name); !found {
					t.Fatalf("%s is not listed among %d", name, len(names))
				}
			}
			if l.calls < machines/pageSize || time.Since(began) < c.MinListDuration(machines)/2 {
				t.Errorf("%d calls in %s", l.calls, time.Since(began))
			}
		})
	}
}

// A page that does not continue the one before is requested again, and a list is never made with such
// a page. A list that ended at an empty page although there are more would show all machines after it
// as gone.
func TestPageOutOfOrderIsRequestedAgainAndNeverUsed(t *testing.T) {
	faults := map[string]func(page *wire.HostList){
		"repeated":  func(page *wire.HostList) { page.Hosts[1] = page.Hosts[0] },
		"unordered": func(page *wire.HostList) { slices.Reverse(page.Hosts) },
		"truncated": func(page *wire.HostList) { page.Hosts, page.More = nil, true },
		"oversized": func(page *wire.HostList) {
			for _, name := range machineNames(900_000, 900_000+pageSize) {
				page.Hosts = append(page.Hosts, wire.ListedHost{UID: name})
			}
		},
		"from before": func(page *wire.HostList) { page.Hosts[0].UID = "m-000000" },
	}
	for name, fault := range faults {
		for _, lasting := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				l := &lister{names: machineNames(0, 1200)}
				l.change = func(call int, page *wire.HostList) {
					if call == 2 || lasting && call > 2 {
						fault(page)
					}
				}
				hosts, err := New("cloud", 8, time.Second, l).List(t.Context())
				if lasting && !errors.Is(err, ErrPageOutOfOrder) || !lasting && (err != nil || len(hosts) != 1200) {
					t.Errorf("%s, lasting %v: %d machines, %v", name, lasting, len(hosts), err)
				}
				if lasting && !strings.Contains(err.Error(), "m-000499") {
					t.Errorf("%s: the error does not name the machine before the page: %v", name, err)
				}
			})
		}
	}
}
