package records

import "lotusstile.dev/lotusstile/wire"

// Job is an accepted job. Status is queued until it is final.
type Job struct {
	Spec   wire.JobSpec   `json:"Spec"`
	Status wire.JobStatus `json:"Status"`
	// AcceptedAtMs is the time of day of acceptance, in Unix milliseconds.
	AcceptedAtMs int64 `json:"AtMs"`
	// TasksPerPlacement is how many tasks each placement record of the job covers.
	TasksPerPlacement int `json:"Per"`
}

// SetFinal gives the job its final status. If the record is then larger than valueBytes, it loses
// the fields that nothing reads once the job is over, so that a record that was written under
// higher limits can be written again under lower ones.
func (j *Job) SetFinal(status wire.JobStatus, valueBytes int) {
	j.Status = status
	if len(Encode(j)) <= valueBytes {
		return
	}
	j.Spec.MachineTypes, j.Spec.Zone, j.Spec.Image, j.Spec.Dependencies = nil, "", "", nil
}

// Final is the final status of an archived job. It never changes.
type Final struct {
	Status wire.JobStatus `json:"Status"`
}
