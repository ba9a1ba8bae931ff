package simcluster

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// Users submits, polls and cancels jobs, as users do through the load balancer. The checker checks
// every answer.
type Users struct {
	// PollInterval is the time between two polls of a job by its user.
	PollInterval time.Duration
	// CrossCheckAnswers makes users poll a job at all nodes at once after each answer that says something
	// new about it.
	CrossCheckAnswers atomic.Bool
	// CancelOnCompletion makes users cancel each job at the moment when its last task completes.
	CancelOnCompletion atomic.Bool
	// AllowUnfinishedJobs is for runs that end in the middle of their work: jobs that are not over at
	// their users' deadline are then counted, and are no violation.
	AllowUnfinishedJobs bool

	cluster    *Cluster
	unfinished atomic.Int64
}

const (
	defaultPollInterval = 3 * time.Second
	// userTimeout is how long a user waits for an answer.
	userTimeout = 5 * time.Second
	// retryInterval is how long a user waits before repeating a request that was not answered.
	retryInterval = time.Second
	// finalPolls is how often a user still polls a job that is over, so that a status that goes back is
	// seen.
	finalPolls = 4
	// crossChecks is the number of requests to each node in a cross-check, crossCheckInterval apart.
	crossChecks        = 3
	crossCheckInterval = 3 * time.Millisecond
)

func newUsers(cluster *Cluster) *Users {
	return &Users{PollInterval: defaultPollInterval, cluster: cluster}
}

// Request sends a user's request to a controller. It returns the status, 0 if no response came,
// and the view of the job if the response is a success.
func (u *Users) Request(node, method, path string, body any) (status int, view wire.JobView) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	req, err := http.NewRequestWithContext(u.cluster.ctx, method, "http://"+node+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	client := http.Client{Transport: u.cluster.Net.Transport("user"), Timeout: userTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0, wire.JobView{}
	}
	defer closeBody(resp)
	if resp.StatusCode < http.StatusMultipleChoices {
		if err := json.NewDecoder(resp.Body).Decode(&view); err != nil {
			panic(err)
		}
	}
	return resp.StatusCode, view
}

// UploadSpec makes a job's specification known to workers and to the checker.
func (u *Users) UploadSpec(spec wire.JobSpec) { u.cluster.Checker.addSpec(spec) }

// Run submits a job and polls it until it is over, or until the deadline. It cancels a job that is not
// over after stay, if that is above 0.
func (u *Users) Run(spec wire.JobSpec, stay time.Duration, deadline time.Time) {
	if u.SubmitUntil(spec, deadline) {
		u.Follow(spec, stay, deadline)
	}
}

// SubmitUntil submits a job again and again until it is accepted, and reports whether it was before the
// deadline.
func (u *Users) SubmitUntil(spec wire.JobSpec, deadline time.Time) bool {
	u.UploadSpec(spec)
	for !u.Submit(u.randomNode(), spec) {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(retryInterval)
	}
	return true
}

// Follow polls an accepted job and cancels it after stay, if that is above 0. It returns when the
// job is over, or at the deadline.
func (u *Users) Follow(spec wire.JobSpec, stay time.Duration, deadline time.Time) {
	pollsAfterEnd := 0
	cancelAt := time.Now().Add(stay)
	for {
		if time.Now().After(deadline) {
			u.checkUnfinished(spec.UID)
			return
		}
		u.Poll(u.randomNode(), spec.UID)
		if u.cluster.Checker.FinalStatus(spec.UID) != "" {
			if pollsAfterEnd++; pollsAfterEnd > finalPolls {
				return
			}
		} else if stay > 0 && time.Now().After(cancelAt) {
			if !u.Cancel(u.randomNode(), spec.UID) {
				time.Sleep(retryInterval) // it may have been cancelled without an answer
			}
			continue
		}
		time.Sleep(u.PollInterval)
	}
}

// Submit submits a job at a node and reports whether it is known to be accepted, by this answer or
// by an earlier one.
func (u *Users) Submit(node string, spec wire.JobSpec) bool {
	asked := time.Now()
	status, view := u.Request(node, http.MethodPost, "/work", spec)
	u.observe(spec.UID, asked, status, view)
	u.cluster.Checker.checkSubmissionStatus(spec.UID, node, status)
	return u.cluster.Checker.isAccepted(spec.UID)
}

// Poll asks a node for the status of a job.
func (u *Users) Poll(node, uid string) {
	asked := time.Now()
	status, view := u.Request(node, http.MethodGet, "/work/"+uid, nil)
	u.observe(uid, asked, status, view)
}

// Cancel asks a node to cancel a job and reports whether the node confirmed it.
func (u *Users) Cancel(node, uid string) bool {
	u.cluster.Checker.cancelRequested(uid)
	asked := time.Now()
	status, view := u.Request(node, http.MethodPost, "/work/"+uid+"/withdraw", nil)
	if status == http.StatusOK && !view.Status.Final() {
		u.cluster.Checker.report(ruleWentBack, "%s is told %s when cancelled", uid, view.Status)
	}
	u.observe(uid, asked, status, view)
	return status == http.StatusOK
}

// CrossCheck polls a job at all nodes at once, several times within milliseconds, and repeats its
// submission at each. All answers must agree with what was answered before.
func (u *Users) CrossCheck(uid string) {
	spec := u.cluster.Checker.spec(uid)
	var asking sync.WaitGroup
	for _, node := range u.cluster.Nodes {
		for i := range crossChecks {
			asking.Go(func() {
				time.Sleep(time.Duration(i) * crossCheckInterval)
				asked := time.Now()
				if i == 1 {
					status, view := u.Request(node, http.MethodPost, "/work", spec)
					u.cluster.Checker.checkAnswer(uid, asked, status, view)
					u.cluster.Checker.checkSubmissionStatus(uid, node, status)
				} else {
					status, view := u.Request(node, http.MethodGet, "/work/"+uid, nil)
					u.cluster.Checker.checkAnswer(uid, asked, status, view)
				}
			})
		}
	}
	asking.Wait()
}

// UnfinishedJobs returns how many jobs were not over at their users' deadline, if AllowUnfinishedJobs is
// set.
func (u *Users) UnfinishedJobs() int { return int(u.unfinished.Load()) }

// randomNode picks a controller, as the load balancer does.
func (u *Users) randomNode() string {
	return u.cluster.Nodes[u.cluster.Net.RandIntN(len(u.cluster.Nodes))]
}

// observe has the checker check an answer, and cross-checks the job if the answer says something new.
func (u *Users) observe(uid string, asked time.Time, status int, view wire.JobView) {
	if u.cluster.Checker.checkAnswer(uid, asked, status, view) && u.CrossCheckAnswers.Load() {
		u.CrossCheck(uid)
	}
}

// checkUnfinished checks a job at its user's deadline.
func (u *Users) checkUnfinished(uid string) {
	switch {
	case u.cluster.Checker.FinalStatus(uid) != "":
	case u.AllowUnfinishedJobs:
		u.unfinished.Add(1)
	default:
		u.cluster.Checker.report(ruleForgotten, "%s was not over in time", uid)
	}
}
