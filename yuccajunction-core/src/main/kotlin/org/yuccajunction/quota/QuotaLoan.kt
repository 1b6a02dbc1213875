package org.yuccajunction.quota

import kotlinx.serialization.Serializable

/**
 * What an entry has taken out of its part of a quota for a peer that requested it.
 *
 * A loan is never returned. One that is lost, late or doubled adds nothing to what the peer holds.
 *
 * The binary form goes by position: the order and the types of the properties must not change.
 *
 * @property lender name of the entry that lends
 * @property round number of the request
 * @property amount what was lent, in the units of the quota; 0 where nothing could be spared
 */
@Serializable
public data class QuotaLoan(public val lender: String, public val round: Long, public val amount: Double)
