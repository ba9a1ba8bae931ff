package sched

import (
	"slices"

	"lotusstile.dev/lotusstile/wire"
)

// IsEligible reports whether a job specification allows machines of a type and zone, spot or on-demand.
func IsEligible(spec *wire.JobSpec, machineType, zone string, spot bool) bool {
	return (len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, machineType)) &&
		(spec.Zone == "" || spec.Zone == zone) &&
		(!spot || spec.AllowSpot)
}

// isProfileEligible reports whether a job may use machines of a profile. A job that may use spot machines
// uses an on-demand machine only if other tasks keep that machine running anyway, if the cloud has no spot
// machine, or if the job cannot wait for a spot machine to boot. In the last case it also has to have waited
// as long as a boot takes before it uses a scale-in candidate: until then its tasks would only keep an
// expensive machine from being scaled in.
func isProfileEligible(job *Job, profile *nodeProfile) bool {
	if !profile.spot && !profile.runsOnDemandWork && job.Spec.AllowSpot && !job.SpotUnavailable {
		if !job.CannotAwaitBoot || profile.scaleInCandidate && !job.WaitedPastBoot {
			return false
		}
	}
	return IsEligible(job.Spec, profile.machineType, profile.zone, profile.spot)
}

// isNodeEligible reports whether a job may use a node, regardless of the node's free capacity.
func (c *cycle) isNodeEligible(job *Job, slot int32) bool {
	scratch := c.scratch
	if !scratch.eligible[scratch.profileID[slot]] || scratch.reserved[slot] || c.isAvoided(job, slot) {
		return false
	}
	return !c.current.imageRequired || c.profiles[scratch.profileID[slot]].registered && c.hasImage(slot)
}

// isAvoided reports whether a node is the job's avoided machine.
func (c *cycle) isAvoided(job *Job, slot int32) bool {
	return job.AvoidedMachine != "" && c.nodeID(slot) == job.AvoidedMachine
}

// hasImage reports whether a node has the image of the current job.
func (c *cycle) hasImage(slot int32) bool {
	if viewSlots := int32(c.view.SlotCount()); slot >= viewSlots {
		return slices.Contains(c.input.Nodes[slot-viewSlots].Images, c.current.job.Spec.Image)
	}
	return c.current.imageHolders != nil && c.current.imageHolders.Test(uint(slot))
}

// isVacant reports whether there is no machine in a slot.
func (c *cycle) isVacant(slot int) bool {
	return slot < c.view.SlotCount() && c.view.nodes[slot].id == ""
}

func (c *cycle) nodeID(slot int32) string {
	if viewSlots := int32(c.view.SlotCount()); slot >= viewSlots {
		return c.input.Nodes[slot-viewSlots].ID
	}
	return c.view.nodes[slot].id
}

func (c *cycle) zoneOf(slot int32) string { return c.profiles[c.scratch.profileID[slot]].zone }
