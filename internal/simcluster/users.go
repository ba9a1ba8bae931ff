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
	// AllowUnfinishedJobs is for runs that end while jobs still run: jobs that are not over at their
	// users' deadline are then counted, instead of reported as violations.
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
	// finalPolls is how many more times a user polls a job that is over, to detect a final status that
	// changes.
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

// RegisterSpec makes a job's specification known to workers and to the checker.
func (u *Users) RegisterSpec(spec wire.JobSpec) { u.cluster.Checker.registerSpec(spec) }

// Run submits a job and polls it until it is over, or until the deadline. If cancelAfter is above 0, it
// cancels the job if it is not over after that time.
func (u *Users) Run(spec wire.JobSpec, cancelAfter time.Duration, deadline time.Time) {
	if u.SubmitUntil(spec, deadline) {
		u.Follow(spec, cancelAfter, deadline)
	}
}

// SubmitUntil repeats the submission of a job until the job is accepted, and reports whether it was accepted
// before the deadline.
func (u *Users) SubmitUntil(spec wire.JobSpec, deadline time.Time) bool {
	u.RegisterSpec(spec)
	for !u.Submit(u.randomNode(), spec) {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(retryInterval)
	}
	return true
}

// Follow polls an accepted job, and cancels it after cancelAfter if that is above 0. It returns when the job
// is over, or at the deadline.
func (u *Users) Follow(spec wire.JobSpec, cancelAfter time.Duration, deadline time.Time) {
	pollsAfterEnd := 0
	cancelAt := time.Now().Add(cancelAfter)
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
		} else if cancelAfter > 0 && time.Now().After(cancelAt) {
			if !u.Cancel(u.randomNode(), spec.UID) {
				time.Sleep(retryInterval) // the node may have cancelled it without an answer
			}
			continue
		}
		time.Sleep(u.PollInterval)
	}
}

// Submit submits a job at a node and reports whether it is known to be accepted, by this answer or
// by an earlier one.
func (u *Users) Submit(node string, spec wire.JobSpec) bool {
	sentAt := time.Now()
	status, view := u.Request(node, http.MethodPost, "/work", spec)
	u.observe(spec.UID, sentAt, status, view)
	u.cluster.Checker.checkSubmissionStatus(spec.UID, node, status)
	return u.cluster.Checker.isAccepted(spec.UID)
}

// Poll asks a node for the status of a job.
func (u *Users) Poll(node, uid string) {
	sentAt := time.Now()
	status, view := u.Request(node, http.MethodGet, "/work/"+uid, nil)
	u.observe(uid, sentAt, status, view)
}

// Cancel asks a node to cancel a job and reports whether the node confirmed it.
func (u *Users) Cancel(node, uid string) bool {
	u.cluster.Checker.recordCancelRequest(uid)
	sentAt := time.Now()
	status, view := u.Request(node, http.MethodPost, "/work/"+uid+"/withdraw", nil)
	if status == http.StatusOK && !view.Status.Final() {
		u.cluster.Checker.report(ruleWentBack, "%s is reported %s in the answer to its cancellation", uid, view.Status)
	}
	u.observe(uid, sentAt, status, view)
	return status == http.StatusOK
}

// CrossCheck polls a job at all nodes at once, several times within milliseconds, and repeats its
// submission at each. All answers must agree with the earlier ones.
func (u *Users) CrossCheck(uid string) {
	spec := u.cluster.Checker.spec(uid)
	var requests sync.WaitGroup
	for _, node := range u.cluster.Nodes {
		for i := range crossChecks {
			requests.Go(func() {
				time.Sleep(time.Duration(i) * crossCheckInterval)
				sentAt := time.Now()
				if i == 1 {
					status, view := u.Request(node, http.MethodPost, "/work", spec)
					u.cluster.Checker.checkAnswer(uid, sentAt, status, view)
					u.cluster.Checker.checkSubmissionStatus(uid, node, status)
				} else {
					status, view := u.Request(node, http.MethodGet, "/work/"+uid, nil)
					u.cluster.Checker.checkAnswer(uid, sentAt, status, view)
				}
			})
		}
	}
	requests.Wait()
}

// UnfinishedJobs returns how many jobs were not over at their users' deadline, if AllowUnfinishedJobs is
// set.
func (u *Users) UnfinishedJobs() int { return int(u.unfinished.Load()) }

// randomNode picks a controller, as the load balancer does.
func (u *Users) randomNode() string {
	return u.cluster.Nodes[u.cluster.Net.RandIntN(len(u.cluster.Nodes))]
}

// observe passes an answer to the checker, and cross-checks the job if the answer says something new.
func (u *Users) observe(uid string, sentAt time.Time, status int, view wire.JobView) {
	if u.cluster.Checker.checkAnswer(uid, sentAt, status, view) && u.CrossCheckAnswers.Load() {
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
		u.cluster.Checker.report(ruleForgotten, "%s was not over at its user's deadline", uid)
	}
}
