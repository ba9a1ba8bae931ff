package simcluster_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

func (sc *scenario) request(node, method, path, body string) (int, string, http.Header) {
	sc.t.Helper()
	client := http.Client{Transport: sc.net.Transport("user"), Timeout: 5 * time.Second}
	req, err := http.NewRequest(method, "http://"+node+path, strings.NewReader(body))
	if err != nil {
		sc.t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		sc.t.Fatal(err)
	}
	return resp.StatusCode, string(data), resp.Header
}

func (sc *scenario) expectStatus(want int, node, method, path, body string) string {
	sc.t.Helper()
	got, text, _ := sc.request(node, method, path, body)
	if got != want {
		sc.t.Errorf("%s %s at %s: %d %s, want %d", method, path, node, got, strings.TrimSpace(text), want)
	}
	return text
}

// runScenario runs f in a day without faults, in which everything has come up.
func runScenario(t *testing.T, f func(sc *scenario)) {
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, 1)
		sc.cluster.Cloud.AddMachines("g8", "a", 2)
		time.Sleep(5 * time.Second)
		f(sc)
		sc.end()
	})
}

func submissionBody(uid, change string) string {
	w := fmt.Sprintf(`{"Uid":%q,"Berth":"b","Crew":"crew","Shape":"standing","Rank":"high","Legs":2,"Cores":4,"Gpus":1,"RamGb":8,"Rollout":"img","ImageGb":2,"Rigs":null,"Together":false,"Scatter":false,"Standby":false,"ExpectS":0,"MarkS":0,"StowS":0}`, uid)
	if change != "" {
		old, with, _ := strings.Cut(change, "=>")
		w = strings.Replace(w, old, with, 1)
	}
	return w
}

func TestUserRequestsGetTheStatusOfTheProtocol(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		const w = "/work"
		sc.expectStatus(400, "n0", "POST", w, "nonsense")
		sc.expectStatus(400, "n0", "POST", w, "[]")
		sc.expectStatus(400, "n0", "POST", w, submissionBody("job-1", ""))
		sc.expectStatus(413, "n0", "POST", w, strings.Repeat(" ", wire.MaxBody)+submissionBody("run-000001", ""))
		sc.expectStatus(400, "n0", "POST", w, submissionBody("run-000001", `"Legs":2,=>`))
		sc.expectStatus(400, "n0", "POST", w, submissionBody("run-000001", `"Standby":false,=>`))
		sc.expectStatus(400, "n0", "POST", w, submissionBody("run-000001", `"Cores":4=>"Cores":"4"`))
		sc.expectStatus(422, "n0", "POST", w, submissionBody("run-000001", `"crew"=>"nobody"`))
		sc.expectStatus(422, "n0", "POST", w, submissionBody("run-000001", `"Gpus":1=>"Gpus":9`))
		sc.expectStatus(422, "n0", "POST", w, submissionBody("run-000001", `"Rigs":null=>"Rigs":["no-such"]`))
		sc.expectStatus(422, "n0", "POST", w, submissionBody("run-000001", `"Legs":2=>"Legs":41`)) // the team's limit is 40 GPUs
		sc.expectStatus(404, "n0", "GET", w+"/run-000001", "")
		sc.expectStatus(404, "n0", "GET", w+"/nonsense", "")
		sc.expectStatus(404, "n0", "POST", w+"/run-000001/withdraw", "")
		sc.expectStatus(201, "n0", "POST", w, submissionBody("run-000001", ""))
		// A repeat is known at any node, even if it would be refused today.
		for _, n := range nodeNames {
			sc.expectStatus(200, n, "POST", w, submissionBody("run-000001", ""))
			sc.expectStatus(200, n, "POST", w, submissionBody("run-000001", `"crew"=>"nobody"`))
			sc.expectStatus(200, n, "POST", w, submissionBody("run-000001", `"Legs":2,=>`)) // nor is a job that is known malformed
			sc.expectStatus(200, n, "GET", "/ready", "")
		}
		time.Sleep(10 * time.Second)
		for _, n := range nodeNames {
			var v wire.JobView
			if err := json.Unmarshal([]byte(sc.expectStatus(200, n, "GET", w+"/run-000001", "")), &v); err != nil || v.Status != wire.JobRunning || v.Running != 2 {
				t.Errorf("%s tells %+v, %v", n, v, err)
			}
		}
		sc.expectStatus(200, "n1", "POST", w+"/run-000001/withdraw", "")
		for range 2 { // right away, and when it is archived
			for _, n := range nodeNames {
				if text := sc.expectStatus(200, n, "POST", w, submissionBody("run-000001", "")); !strings.Contains(text, "aborted") {
					t.Errorf("%s tells %s", n, text)
				}
			}
			time.Sleep(10 * time.Second)
		}
		if keys := append(sc.cluster.Store.Keys("j/"), sc.cluster.Store.Keys("p/")...); len(keys) > 0 {
			t.Errorf("left behind: %v", keys)
		}
	})
}

// A node that alone lost the state service passes its users on; when nobody
// reaches it they are told at once when to come back.
func TestNodeWithoutStateServiceForwardsUserRequests(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		for i, fault := range []func(on bool){
			func(on bool) { sc.net.RefuseRequests("n1", "state:1", on) },
			func(on bool) { sc.net.Partition("n1", "state:1", on) },
		} {
			fault(true)
			time.Sleep(5 * time.Second)
			uid := fmt.Sprintf("run-00000%d", i)
			began := time.Now()
			sc.expectStatus(201, "n1", "POST", "/work", submissionBody(uid, ""))
			sc.expectStatus(200, "n1", "GET", "/work/"+uid, "")
			sc.expectStatus(200, "n1", "POST", "/work/"+uid+"/withdraw", "")
			if took := time.Since(began); took > 500*time.Millisecond {
				t.Errorf("three answers took %v", took)
			}
			sc.expectStatus(503, "n1", "GET", "/ready", "")
			fault(false)
			time.Sleep(5 * time.Second)
			sc.expectStatus(200, "n1", "GET", "/ready", "")
		}
		sc.cluster.Store.SetDown(true)
		time.Sleep(5 * time.Second)
		for _, n := range nodeNames {
			status, _, h := sc.request(n, "POST", "/work", submissionBody("run-000009", ""))
			if status != 503 || h.Get("Retry-After") == "" {
				t.Errorf("%s answers %d, Retry-After %q", n, status, h.Get("Retry-After"))
			}
			sc.expectStatus(200, n, "GET", "/ready", "") // leaving would help nobody
		}
		sc.cluster.Store.SetDown(false)
	})
}

func TestChangedSettingsApplyOnEveryNode(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		const path = "/admin/settings"
		var s wire.Settings
		read := func(text string) {
			t.Helper()
			if err := json.Unmarshal([]byte(text), &s); err != nil {
				t.Fatalf("%s: %v", text, err)
			}
		}
		read(sc.expectStatus(200, "n0", "GET", path, ""))
		if s.ModRevision != 0 || s.Window != 200 {
			t.Errorf("defaults are %+v", s)
		}
		for _, bad := range []string{`{}`, `[]`, `{"Stamp":0,"Window":0}`, `{"Stamp":0,"IntervalS":-1}`, `{"Stamp":0,"Windows":5}`, `{"Stamp":0,"Window":"x"}`, `nonsense`} {
			sc.expectStatus(400, "n0", "PUT", path, bad)
		}
		read(sc.expectStatus(200, "n0", "PUT", path, `{"Stamp":0,"Window":50}`))
		if s.Window != 50 || s.ModRevision == 0 || s.IntervalS == 0 {
			t.Errorf("after a change: %+v", s)
		}
		sc.expectStatus(409, "n0", "PUT", path, `{"Stamp":0,"Window":60}`)
		sc.expectStatus(400, "n0", "PUT", path, fmt.Sprintf(`{"Stamp":%d,"Profiling":"yes"}`, s.ModRevision))
		sc.expectStatus(403, "n1", "GET", "/admin/pprof/heap", "")
		read(sc.expectStatus(200, "n0", "PUT", path, fmt.Sprintf(`{"Stamp":%d,"Profiling":true}`, s.ModRevision)))
		time.Sleep(time.Second)
		for _, n := range nodeNames {
			read(sc.expectStatus(200, n, "GET", path, ""))
			if s.Window != 50 {
				t.Errorf("%s has %+v", n, s)
			}
			var st wire.Status
			if err := json.Unmarshal([]byte(sc.expectStatus(200, n, "GET", "/admin/status", "")), &st); err != nil || st.Lead == nil || st.Lead.Machines["ready"] == 0 || st.Leader == "" {
				t.Errorf("%s tells %+v, %v", n, st, err)
			}
			sc.expectStatus(200, n, "GET", "/admin/pprof/heap", "")
			sc.expectStatus(404, n, "GET", "/admin/pprof/nonsense", "")
			if text := sc.expectStatus(200, n, "GET", "/admin/metrics", ""); !strings.Contains(text, "lotusstile_term ") {
				t.Errorf("%s has no metrics: %s", n, text)
			}
		}
	})
}
