package org.yuccajunction.caller

import org.yuccajunction.model.Header

/** What one exchange with one entry brought. */
internal sealed interface Exchange {
    class Answered(val status: Int, val headers: List<Header>, val body: ByteArray) : Exchange

    class Problematic(val problem: Problem, val status: Int) : Exchange

    /** No whole answer came; [left] tells whether the request may have reached the entry. */
    class Broken(val left: Boolean, val detail: String) : Exchange
}
