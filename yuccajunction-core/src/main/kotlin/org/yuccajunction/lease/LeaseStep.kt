package org.yuccajunction.lease

/** The state of leases after a step and the call that is to be made, if any. */
public data class LeaseStep(public val state: LeaseState, public val call: LeaseCall? = null)
