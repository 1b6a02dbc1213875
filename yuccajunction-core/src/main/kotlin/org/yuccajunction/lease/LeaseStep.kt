package org.yuccajunction.lease

/** The result of [LeaseManager.nextStep]: the new state of the leases, and the object API call to make, if any. */
public data class LeaseStep(public val state: LeaseState, public val call: LeaseCall? = null)
