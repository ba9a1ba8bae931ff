package simcluster_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// submissionBody returns the submission of a service with two tasks. A change "old=>new" replaces the text old.
func submissionBody(uid, change string) string {
	body := fmt.Sprintf(`{"Uid":%q,"Berth":"b","Crew":"crew","Shape":"standing","Rank":"high","Legs":2,`+
		`"Cores":4,"Gpus":1,"RamGb":8,"Rollout":"img","ImageGb":2,"Rigs":null,"Together":false,"Scatter":false,`+
		`"Standby":false,"ExpectS":0,"MarkS":0,"StowS":0}`, uid)
	if change != "" {
		old, replacement, _ := strings.Cut(change, "=>")
		body = strings.Replace(body, old, replacement, 1)
	}
	return body
}

func TestUserRequestsGetTheStatusOfTheProtocol(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		const uid, path = "run-000001", "/work/run-000001"
		sc.expectSubmissionsRefused()
		for _, unknown := range []struct{ method, path string }{
			{http.MethodGet, path},
			{http.MethodGet, "/work/nonsense"},
			{http.MethodPost, path + "/withdraw"},
		} {
			sc.expectStatus(http.StatusNotFound, "n0", unknown.method, unknown.path, "")
		}
		sc.expectStatus(http.StatusCreated, "n0", http.MethodPost, "/work", submissionBody(uid, ""))
		// A repeated submission of a known job is accepted at any node, even if it would be refused for a new job.
		for _, node := range nodeNames {
			sc.expectStatus(http.StatusOK, node, http.MethodPost, "/work", submissionBody(uid, ""))
			sc.expectStatus(http.StatusOK, node, http.MethodPost, "/work", submissionBody(uid, `"crew"=>"nobody"`))
			// A malformed repeated submission of a known job is accepted too.
			sc.expectStatus(http.StatusOK, node, http.MethodPost, "/work", submissionBody(uid, `"Legs":2,=>`))
			sc.expectStatus(http.StatusOK, node, http.MethodGet, "/ready", "")
		}
		time.Sleep(10 * time.Second)
		for _, node := range nodeNames {
			var view wire.JobView
			err := json.Unmarshal([]byte(sc.expectStatus(http.StatusOK, node, http.MethodGet, path, "")), &view)
			if err != nil || view.Status != wire.JobRunning || view.Running != 2 {
				t.Errorf("job at %s: got %+v, %v, want 2 tasks running", node, view, err)
			}
		}
		sc.expectStatus(http.StatusOK, "n1", http.MethodPost, path+"/withdraw", "")
		for range 2 { // before and after the job is archived
			for _, node := range nodeNames {
				text := sc.expectStatus(http.StatusOK, node, http.MethodPost, "/work", submissionBody(uid, ""))
				if !strings.Contains(text, "aborted") {
					t.Errorf("submission of a cancelled job at %s: got %s, want aborted", node, text)
				}
			}
			time.Sleep(10 * time.Second)
		}
		sc.expectNoKeys("j/", "p/")
	})
}

// expectSubmissionsRefused expects that submissions that are malformed or can never run are refused.
func (sc *scenario) expectSubmissionsRefused() {
	sc.t.Helper()
	const uid = "run-000001"
	for _, refused := range []struct {
		status int
		body   string
	}{
		{http.StatusBadRequest, "nonsense"},
		{http.StatusBadRequest, "[]"},
		{http.StatusBadRequest, submissionBody("job-1", "")},
		{http.StatusRequestEntityTooLarge, strings.Repeat(" ", wire.MaxBody) + submissionBody(uid, "")},
		{http.StatusBadRequest, submissionBody(uid, `"Legs":2,=>`)},
		{http.StatusBadRequest, submissionBody(uid, `"Standby":false,=>`)},
		{http.StatusBadRequest, submissionBody(uid, `"Cores":4=>"Cores":"4"`)},
		{http.StatusUnprocessableEntity, submissionBody(uid, `"crew"=>"nobody"`)},
		{http.StatusUnprocessableEntity, submissionBody(uid, `"Gpus":1=>"Gpus":9`)},
		{http.StatusUnprocessableEntity, submissionBody(uid, `"Rigs":null=>"Rigs":["no-such"]`)},
		{http.StatusUnprocessableEntity, submissionBody(uid, `"Legs":2=>"Legs":41`)}, // the team's limit is 40 GPUs
	} {
		sc.expectStatus(refused.status, "n0", http.MethodPost, "/work", refused.body)
	}
}

// A submission with fields whose names differ from the protocol's in case only is accepted under its own id, with
// its own properties: it must not be known under the id in a field "uid", nor get 404 under its own.
func TestUnknownFieldsOfASubmissionAreIgnored(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		const uid, other = "run-000412", "run-000777"
		body := submissionBody(uid, `"StowS":0=>"StowS":0,"uid":"`+other+`","legs":9,"crew":"nobody","awaits":["`+other+`"]`)
		sc.expectStatus(http.StatusCreated, "n0", http.MethodPost, "/work", body)
		time.Sleep(10 * time.Second)
		for _, node := range nodeNames {
			var view wire.JobView
			sc.decode(sc.expectStatus(http.StatusOK, node, http.MethodGet, "/work/"+uid, ""), &view)
			if view.UID != uid || view.Running != 2 {
				t.Errorf("job at %s: got %+v, want id %s and 2 tasks running", node, view, uid)
			}
			sc.expectStatus(http.StatusNotFound, node, http.MethodGet, "/work/"+other, "")
		}
	})
}

// While a single node cannot reach the state store, it forwards its users' requests. While no node can reach
// the state store, users get a Retry-After at once.
func TestNodeWithoutStateStoreForwardsUserRequests(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		for i, setFault := range []func(from, to string, on bool){sc.net.RefuseRequests, sc.net.Partition} {
			setFault("n1", storeAddress, true)
			time.Sleep(5 * time.Second)
			uid := jobName(i)
			began := time.Now()
			sc.expectStatus(http.StatusCreated, "n1", http.MethodPost, "/work", submissionBody(uid, ""))
			sc.expectStatus(http.StatusOK, "n1", http.MethodGet, "/work/"+uid, "")
			sc.expectStatus(http.StatusOK, "n1", http.MethodPost, "/work/"+uid+"/withdraw", "")
			if took := time.Since(began); took > 500*time.Millisecond {
				t.Errorf("three answers took %v, want at most 500 ms", took)
			}
			sc.expectStatus(http.StatusServiceUnavailable, "n1", http.MethodGet, "/ready", "")
			setFault("n1", storeAddress, false)
			time.Sleep(5 * time.Second)
			sc.expectStatus(http.StatusOK, "n1", http.MethodGet, "/ready", "")
		}
		sc.cluster.Store.SetDown(true)
		time.Sleep(5 * time.Second)
		for _, node := range nodeNames {
			status, _, header := sc.request(node, http.MethodPost, "/work", submissionBody("run-000009", ""))
			if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
				t.Errorf("submission at %s: got status %d, Retry-After %q, want 503 with a Retry-After", node, status, header.Get("Retry-After"))
			}
			sc.expectStatus(http.StatusOK, node, http.MethodGet, "/ready", "") // another node would serve users no better
		}
		sc.cluster.Store.SetDown(false)
	})
}

const settingsPath = "/admin/settings"

func TestChangedSettingsApplyOnEveryNode(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		settings := sc.settings("n0")
		if settings.ModRevision != 0 || settings.Window != 200 {
			t.Errorf("default settings: got %+v, want revision 0 and window 200", settings)
		}
		for _, malformed := range []string{
			`{}`, `[]`, `{"Stamp":0,"Window":0}`, `{"Stamp":0,"IntervalS":-1}`, `{"Stamp":0,"Windows":5}`,
			`{"Stamp":0,"Window":"x"}`, `nonsense`,
			// Names in JSON are case-sensitive.
			`{"Stamp":0,"window":50}`, `{"stamp":0,"Window":50}`, `{"Stamp":0,"Window":50,"STAMP":0}`, `{"Stamp":0,"Window":50,"window":60}`,
		} {
			sc.expectStatus(http.StatusBadRequest, "n0", http.MethodPut, settingsPath, malformed)
		}
		settings = sc.changeSettings("n0", `{"Stamp":0,"Window":50}`)
		if settings.Window != 50 || settings.ModRevision == 0 || settings.IntervalS == 0 {
			t.Errorf("settings after a change: got %+v, want window 50, a revision and an interval", settings)
		}
		revision := settings.ModRevision
		sc.expectStatus(http.StatusConflict, "n0", http.MethodPut, settingsPath, `{"Stamp":0,"Window":60}`)
		sc.expectStatus(http.StatusBadRequest, "n0", http.MethodPut, settingsPath, fmt.Sprintf(`{"Stamp":%d,"Profiling":"yes"}`, revision))
		sc.expectStatus(http.StatusForbidden, "n1", http.MethodGet, "/admin/pprof/heap", "")
		sc.changeSettings("n0", fmt.Sprintf(`{"Stamp":%d,"Profiling":true}`, revision))
		time.Sleep(time.Second)
		for _, node := range nodeNames {
			if settings := sc.settings(node); settings.Window != 50 {
				t.Errorf("settings at %s: got %+v, want window 50", node, settings)
			}
			status := sc.status(node)
			if status.Lead == nil || status.Lead.Machines["ready"] == 0 || status.Leader == "" {
				t.Errorf("status at %s: got %+v, want a leader and ready machines", node, status)
			}
			sc.expectStatus(http.StatusOK, node, http.MethodGet, "/admin/pprof/heap", "")
			sc.expectStatus(http.StatusNotFound, node, http.MethodGet, "/admin/pprof/nonsense", "")
			metrics := sc.expectStatus(http.StatusOK, node, http.MethodGet, "/admin/metrics", "")
			if !strings.Contains(metrics, "lotusstile_term ") {
				t.Errorf("metrics of %s: got %s, want lotusstile_term among them", node, metrics)
			}
		}
	})
}

// settings returns a node's settings that operators may change.
func (sc *scenario) settings(node string) (settings wire.Settings) {
	sc.t.Helper()
	sc.decode(sc.expectStatus(http.StatusOK, node, http.MethodGet, settingsPath, ""), &settings)
	return settings
}

// changeSettings changes settings at a node and returns the new ones.
func (sc *scenario) changeSettings(node, change string) (settings wire.Settings) {
	sc.t.Helper()
	sc.decode(sc.expectStatus(http.StatusOK, node, http.MethodPut, settingsPath, change), &settings)
	return settings
}

// status returns a node's status.
func (sc *scenario) status(node string) (status wire.Status) {
	sc.t.Helper()
	sc.decode(sc.expectStatus(http.StatusOK, node, http.MethodGet, "/admin/status", ""), &status)
	return status
}

// decode decodes the JSON body of a response.
func (sc *scenario) decode(text string, into any) {
	sc.t.Helper()
	if err := json.Unmarshal([]byte(text), into); err != nil {
		sc.t.Fatalf("%s: %v", text, err)
	}
}
