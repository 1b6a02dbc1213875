package org.yuccajunction.entries

import kotlinx.serialization.Serializable
import org.yuccajunction.quota.QuotaLoan
import org.yuccajunction.quota.QuotaLoanRequest

/**
 * The content of one datagram between entries, in Protocol Buffers; exactly one property is set.
 *
 * The binary form goes by position: the order and the types of the properties must not change.
 */
@Serializable
public data class EntryDatagram(
    public val message: EntryMessage? = null,
    public val question: ConfirmationQuestion? = null,
    public val answer: ConfirmationAnswer? = null,
    public val loanRequest: QuotaLoanRequest? = null,
    public val loan: QuotaLoan? = null,
)
