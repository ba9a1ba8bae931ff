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

// Users submits jobs, asks about them and cancels them, as users do by way of the load balancer.
// The checker sees every answer.
type Users struct {
	// PollInterval is how often a user asks about a job.
	PollInterval time.Duration
	// CrossCheckAnswers makes users ask at all nodes at once when an answer tells something new.
	CrossCheckAnswers atomic.Bool
	// CancelOnCompletion makes users cancel jobs in the moment of their completion.
	CancelOnCompletion atomic.Bool
	// AllowUnfinishedJobs says that the users' deadline is no promise, but the end of a run in the
	// middle of its work: jobs that are not over then are counted, and break no rule.
	AllowUnfinishedJobs bool

	cluster    *Cluster
	unfinished atomic.Int64
}

const (
	defaultPollInterval = 3 * time.Second
	// userTimeout is how long a user waits for an answer.
	userTimeout = 5 * time.Second
	// retryInterval is when a user repeats what was not answered.
	retryInterval = time.Second
	// finalPolls is how often a user still asks about a job that is over.
	finalPolls = 4
	// crossChecks is how often each node is asked about something new, crossCheckInterval apart.
	crossChecks        = 3
	crossCheckInterval = 3 * time.Millisecond
)

func newUsers(cluster *Cluster) *Users {
	return &Users{PollInterval: defaultPollInterval, cluster: cluster}
}

// Request sends a user's request to a controller. It returns the status, 0 if no response came,
// and the view of the job that a response of success has.
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

// UploadSpec makes a job's description known to workers and to the checker.
func (u *Users) UploadSpec(spec wire.JobSpec) { u.cluster.Checker.addSpec(spec) }

// Run submits a job, polls it and, if it is not over after stay, cancels it, unless stay is 0. It
// returns when the job is over, or at the deadline.
func (u *Users) Run(spec wire.JobSpec, stay time.Duration, deadline time.Time) {
	if u.SubmitUntil(spec, deadline) {
		u.Follow(spec, stay, deadline)
	}
}

// SubmitUntil submits a job until it is accepted. It reports whether it was before the deadline.
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
				time.Sleep(retryInterval) // it may have been carried out all the same
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

// Cancel asks a node to cancel a job and reports whether the node did.
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

// CrossCheck asks for a job at all nodes at once, again and again within milliseconds, and repeats
// its submission.
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

// UnfinishedJobs counts the jobs that were not over at their users' deadline, if that is allowed.
func (u *Users) UnfinishedJobs() int { return int(u.unfinished.Load()) }

// randomNode picks a controller, as the load balancer does.
func (u *Users) randomNode() string {
	return u.cluster.Nodes[u.cluster.Net.RandIntN(len(u.cluster.Nodes))]
}

// observe gives an answer to the checker, and cross-checks what is new in it.
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
