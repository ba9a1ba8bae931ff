package fleet

import "lotusstile.dev/lotusstile/wire"

// Resources is an amount of each resource that a machine offers or a task requests.
type Resources struct {
	Cores float64
	Gpus  float64
	RAM   float64 // GB
}

// roundingTolerance bounds the floating-point rounding error of a sum of resources.
const roundingTolerance = 1e-6

// TaskResources returns the resources that one task of a job requests.
func TaskResources(spec *wire.JobSpec) Resources { return Resources{spec.Cores, spec.Gpus, spec.RAMGb} }

// Add returns r + other.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.Cores + other.Cores, r.Gpus + other.Gpus, r.RAM + other.RAM}
}

// Sub returns r - other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.Cores - other.Cores, r.Gpus - other.Gpus, r.RAM - other.RAM}
}

// Times returns count times r.
func (r Resources) Times(count int) Resources {
	n := float64(count)
	return Resources{n * r.Cores, n * r.Gpus, n * r.RAM}
}

// Fits reports whether the request fits into r.
func (r Resources) Fits(request Resources) bool {
	return request.Cores <= r.Cores+roundingTolerance && request.Gpus <= r.Gpus+roundingTolerance && request.RAM <= r.RAM+roundingTolerance
}

// FitsRequested reports whether the request fits into r. Unlike Fits, it ignores the resources of which the
// request is zero: r may be negative (overbooked) in these. It returns true exactly if CountFitting
// finds room for at least one.
func (r Resources) FitsRequested(request Resources) bool {
	return (request.Cores <= 0 || request.Cores <= r.Cores+roundingTolerance) &&
		(request.Gpus <= 0 || request.Gpus <= r.Gpus+roundingTolerance) &&
		(request.RAM <= 0 || request.RAM <= r.RAM+roundingTolerance)
}

// CountFitting returns how many times the request fits into r, at most limit.
func (r Resources) CountFitting(request Resources, limit int) int {
	count := limit
	for _, pair := range [...][2]float64{{r.Cores, request.Cores}, {r.Gpus, request.Gpus}, {r.RAM, request.RAM}} {
		if available, needed := pair[0], pair[1]; needed > 0 {
			count = min(count, int((available+roundingTolerance)/needed))
		}
	}
	return max(count, 0)
}
