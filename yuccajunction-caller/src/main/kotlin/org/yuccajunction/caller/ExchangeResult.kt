package org.yuccajunction.caller

import org.yuccajunction.model.Header

/** Result of one exchange with one entry. */
internal sealed interface ExchangeResult {
    class Answered(val status: Int, val headers: List<Header>, val body: ByteArray) : ExchangeResult

    class Problematic(val problem: Problem, val status: Int) : ExchangeResult

    /** No whole answer arrived; [mayHaveReachedEntry] is false if certainly no byte of the request was sent. */
    class Broken(val mayHaveReachedEntry: Boolean, val detail: String) : ExchangeResult
}
