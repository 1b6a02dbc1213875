package org.yuccajunction.lease

/** The state of the leases after a step, and the object API call to make, if any. */
public data class LeaseStep(public val state: LeaseState, public val call: LeaseCall? = null)
