package records

import "lotusstile.dev/lotusstile/wire"

// Job is an accepted job. Status is queued until the job has its final status.
type Job struct {
	Spec   wire.JobSpec   `json:"Spec"`
	Status wire.JobStatus `json:"Status"`
	// AcceptedAtMs is when the job was accepted, in Unix milliseconds.
	AcceptedAtMs int64 `json:"AtMs"`
	// TasksPerPlacement is how many tasks each placement record of the job covers.
	TasksPerPlacement int `json:"Per"`
}

// SetFinal gives the job its final status. If the record is then larger than valueBytes, SetFinal clears
// the fields that nothing reads after the job has ended. A record that was written while the state store
// allowed larger values can then still be written.
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
