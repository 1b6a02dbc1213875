package org.yuccajunction.quota

import kotlinx.serialization.Serializable

/**
 * An entry's request to a peer for a part of what the peer holds of a quota.
 *
 * The binary form goes by position: the order and the types of the properties must not change.
 *
 * @property round number by which the borrower knows the loan again
 * @property workspace workspace of the quota
 * @property amount most that is requested, in the units of the quota
 */
@Serializable
public data class QuotaLoanRequest(public val round: Long, public val workspace: String, public val amount: Double)
