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

// fakeCloud is a cloud that lists machines.
type fakeCloud struct {
	names      []string
	beforePage func(call int)                      // called before a page is made, if not nil
	alterPage  func(call int, page *wire.HostList) // changes the page before it is sent, if not nil
	calls      int                                 // number of pages requested so far; the argument of both functions
}

// RoundTrip answers with a page of the machine list.
func (f *fakeCloud) RoundTrip(r *http.Request) (*http.Response, error) {
	f.calls++
	if f.beforePage != nil {
		f.beforePage(f.calls)
	}
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("Most"))
	if err != nil {
		return nil, err
	}
	var page wire.HostList
	for _, name := range f.names {
		if name > query.Get("After") {
			page.More = len(page.Hosts) == limit
			if page.More {
				break
			}
			page.Hosts = append(page.Hosts, wire.ListedHost{UID: name})
		}
	}
	if f.alterPage != nil {
		f.alterPage(f.calls, &page)
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

// A list of a large fleet contains every machine that exists while the list is read, although other machines
// are created and removed between its pages. It is read slowly enough to leave calls for provisioning.
func TestLargeFleetIsListedWhileMachinesComeAndGo(t *testing.T) {
	for _, machines := range []int{4096, 6000} {
		synctest.Test(t, func(t *testing.T) {
			fake := &fakeCloud{names: machineNames(0, machines)}
			fake.beforePage = func(call int) {
				fake.names = append(fake.names[1:], fmt.Sprintf("m-%06d", machines+call))
			}
			client := New("cloud", 8, time.Second, fake)
			startedAt := time.Now()
			hosts, err := client.List(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			names := make([]string, 0, len(hosts))
			for _, h := range hosts {
				names = append(names, h.UID)
			}
			for _, name := range machineNames(fake.calls, machines) {
				if _, found := slices.BinarySearch(names, name); !found {
					t.Fatalf("%s is not in the list of %d machines", name, len(names))
				}
			}
			if fake.calls < machines/pageSize || time.Since(startedAt) < client.MinListDuration(machines)/2 {
				t.Errorf("%d calls in %s, want at least %d calls in at least %s",
					fake.calls, time.Since(startedAt), machines/pageSize, client.MinListDuration(machines)/2)
			}
		})
	}
}

// A page that does not continue the previous page is requested again, and its machines are never used. If a
// list ended at an empty page that is not the last one, all machines after it would seem terminated.
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
		for _, permanent := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				fake := &fakeCloud{names: machineNames(0, 1200)}
				fake.alterPage = func(call int, page *wire.HostList) {
					if call == 2 || permanent && call > 2 {
						fault(page)
					}
				}
				hosts, err := New("cloud", 8, time.Second, fake).List(t.Context())
				if permanent && !errors.Is(err, ErrPageOutOfOrder) || !permanent && (err != nil || len(hosts) != 1200) {
					t.Errorf("%s, permanent %v: got %d machines, error %v; want ErrPageOutOfOrder if permanent, else 1200 machines",
						name, permanent, len(hosts), err)
				}
				if permanent && !strings.Contains(err.Error(), "m-000499") {
					t.Errorf("%s: error is %v, want it to name m-000499, the last machine before the page", name, err)
				}
			})
		}
	}
}

// Machines are in order of their numbers, also where those get another digit: a page that goes back from m-1000 to
// m-999 was taken for one that goes on, and its machines stood in the list twice.
func TestMachineNamesAreOrderedByTheirNumbers(t *testing.T) {
	for _, tc := range []struct {
		earlier, later string
		want           bool
	}{
		{"", "m-000000", true},
		{"m-000000", "m-000001", true},
		{"m-000001", "m-000000", false},
		{"m-000001", "m-000001", false},
		{"m-999", "m-1000", true},
		{"m-1000", "m-999", false},
		{"m-999999", "m-1000000", true},
		{"m-1000000", "m-999999", false},
		{"m-0999", "m-1000", true},
		{"m-1000", "m-0999", false},
		{"a-9", "b-1", true},
		{"host", "hosts", true},
	} {
		if got := isCreatedAfter(tc.earlier, tc.later); got != tc.want {
			t.Errorf("%q is created after %q: %v, want %v", tc.later, tc.earlier, got, tc.want)
		}
	}
}
