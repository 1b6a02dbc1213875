package org.yuccajunction.caller

import org.yuccajunction.model.Header

/** What one exchange with one entry brought. */
internal sealed interface ExchangeResult {
    class Answered(val status: Int, val headers: List<Header>, val body: ByteArray) : ExchangeResult

    class Problematic(val problem: Problem, val status: Int) : ExchangeResult

    /** No whole answer came; [mayHaveReachedEntry] tells whether the request may have reached the entry. */
    class Broken(val mayHaveReachedEntry: Boolean, val detail: String) : ExchangeResult
}
