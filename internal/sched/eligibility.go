package sched

import (
	"slices"

	"lotusstile.dev/lotusstile/wire"
)

// IsEligible reports whether the specification of a job allows a machine of this type, zone and kind.
func IsEligible(spec *wire.JobSpec, machineType, zone string, spot bool) bool {
	return (len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, machineType)) &&
		(spec.Zone == "" || spec.Zone == zone) &&
		(!spot || spec.AllowSpot)
}

// isProfileEligible reports whether a job may use machines of a profile. A job that may use spot
// machines uses an on-demand machine only if that stays anyway, if the cloud has no spot machine, or if
// the job has no time left to wait for one to boot. A scale-in candidate it uses only once it has waited
// as long as a boot takes: until then its work would only keep an expensive machine from scale-in.
func isProfileEligible(job *Job, profile *nodeProfile) bool {
	if !profile.spot && !profile.runsOnDemandWork && job.Spec.AllowSpot && !job.SpotUnavailable {
		if !job.CannotAwaitBoot || profile.scaleInCandidate && !job.WaitedPastBoot {
			return false
		}
	}
	return IsEligible(job.Spec, profile.machineType, profile.zone, profile.spot)
}

// isNodeEligible reports whether a job may use a node, whatever room it has.
func (c *cycle) isNodeEligible(job *Job, slot int32) bool {
	scratch := c.scratch
	if !scratch.eligible[scratch.profile[slot]] || scratch.reserved[slot] || c.isAvoided(job, slot) {
		return false
	}
	return !c.current.warmOnly || c.profiles[scratch.profile[slot]].registered && c.hasImage(slot)
}

// isAvoided reports whether a job must not be placed on a node that it may use otherwise.
func (c *cycle) isAvoided(job *Job, slot int32) bool {
	return job.AvoidedMachine != "" && c.nodeID(slot) == job.AvoidedMachine
}

// hasImage reports whether a node has the image of the current job.
func (c *cycle) hasImage(slot int32) bool {
	if retained := int32(c.view.SlotCount()); slot >= retained {
		return slices.Contains(c.input.Nodes[slot-retained].Images, c.current.job.Spec.Image)
	}
	return c.current.imageHolders != nil && c.current.imageHolders.Test(uint(slot))
}

// isVacant reports whether there is no machine in a slot.
func (c *cycle) isVacant(slot int) bool {
	return slot < c.view.SlotCount() && c.view.nodes[slot].id == ""
}

func (c *cycle) nodeID(slot int32) string {
	if retained := int32(c.view.SlotCount()); slot >= retained {
		return c.input.Nodes[slot-retained].ID
	}
	return c.view.nodes[slot].id
}

func (c *cycle) zoneOf(slot int32) string { return c.profiles[c.scratch.profile[slot]].zone }
