package node

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// testConfig returns the configuration of a node whose state store allows rps requests and
// writeRps changes per second.
func testConfig(rps, writeRps float64) *config.Config {
	cfg := &config.Config{}
	cfg.Cluster.Workers.LeaseS, cfg.Cluster.Workers.ReportS = 10, 1
	cfg.Cluster.Teams = []config.Team{{Name: "crew"}}
	cfg.Cluster.State.Rps, cfg.Cluster.State.WriteRps, cfg.Cluster.State.ValueKb = rps, writeRps, 8
	cfg.Cluster.Cloud.Rps, cfg.Cluster.Limits.MaxConnections = 1, 100
	cfg.Services.State = "state:1"
	return cfg
}

// testCatalog returns a catalog with one machine type, on which a job of jobDescription fits.
func testCatalog() *wire.Catalog {
	return &wire.Catalog{MachineTypes: []wire.MachineType{{Name: "g", Cores: 8, Gpus: 8, RAMGb: 8, Zones: []string{"a"}}}}
}

// jobDescription is the format of a submission; its only argument is the number of the job.
const jobDescription = `{"Uid":"run-%06d","Berth":"b","Crew":"crew","Shape":"sweep","Rank":"critical","Legs":1,` +
	`"Cores":1,"Gpus":1,"RamGb":1,"Rollout":"i","ImageGb":1,"Together":false,"Scatter":false,"Standby":false,` +
	`"ExpectS":5,"MarkS":0,"StowS":0}`

// fixedStatus answers every request with this status and an empty JSON object.
type fixedStatus int

// RoundTrip implements http.RoundTripper.
func (s *fixedStatus) RoundTrip(*http.Request) (*http.Response, error) {
	return response(int(*s), "{}"), nil
}

// lossyStore is a state store that leaves the first commits without an answer.
type lossyStore struct {
	fixedStatus
	lose int // number of commits that still get no answer
}

// RoundTrip implements http.RoundTripper.
func (l *lossyStore) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasSuffix(r.URL.Path, "/commit") {
		if l.lose--; l.lose >= 0 {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
	}
	return l.fixedStatus.RoundTrip(r)
}

// queuedJobStore is a state store that answers every read of a key with a queued job. If beforeAnswer is set, it is
// called between the read and its answer.
type queuedJobStore struct {
	fixedStatus
	beforeAnswer func()
}

// RoundTrip implements http.RoundTripper.
func (s *queuedJobStore) RoundTrip(r *http.Request) (*http.Response, error) {
	if !strings.HasPrefix(r.URL.Path, "/kv/") {
		return s.fixedStatus.RoundTrip(r)
	}
	job := records.Job{Spec: wire.JobSpec{UID: "run-000001", TaskCount: 1}, Status: wire.JobQueued, TasksPerPlacement: 1}
	body := string(records.Encode(wire.KeyValue{Key: "j/run-000001", ModRevision: 7, Value: records.Encode(job)}))
	if s.beforeAnswer != nil {
		s.beforeAnswer()
	}
	return response(http.StatusOK, body), nil
}

func response(status int, body string) *http.Response {
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}
}

// handlerTransport passes requests to a handler in the same process.
type handlerTransport struct{ handler http.Handler }

// RoundTrip implements http.RoundTripper.
func (t handlerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	t.handler.ServeHTTP(rec, req)
	return rec.Result(), nil
}

// fakeCloud returns the handler of a cloud with a catalog and no machines.
func fakeCloud(catalog wire.Catalog) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/catalog" {
			_ = json.NewEncoder(w).Encode(catalog)
			return
		}
		_, _ = io.WriteString(w, `{"Hosts":[]}`)
	})
}
