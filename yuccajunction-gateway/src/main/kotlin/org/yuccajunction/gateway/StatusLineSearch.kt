package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/**
 * Searches text or bytes, which may come in parts, for the start of an answer: its version and status.
 *
 * A server that breaks off an extra answer, in its head or its body, goes on with the next answer, whose status line
 * then stands inside of the broken one.
 */
internal class StatusLineSearch {
    /** Characters of [PATTERN] that the last ones match. */
    private var matched = 0

    /** Returns whether a status line ends in [bytes], which follow those of former calls. */
    fun isIn(bytes: ByteBuf): Boolean = bytes.forEachByte { !ends(it.toInt().toChar()) } >= 0

    private fun ends(next: Char): Boolean {
        val expected = PATTERN[matched]
        val isMatch = if (expected == DIGIT) next in '0'..'9' else next == expected
        matched = if (isMatch) {
            matched + 1
        } else if (next == PATTERN.first()) {
            1
        } else {
            0
        }
        if (matched < PATTERN.length) return false
        matched = 0
        return true
    }

    companion object {
        private const val DIGIT = '#'
        private const val PATTERN = "HTTP/1.# ###"

        /** Returns whether [text] holds a status line. */
        fun isIn(text: String): Boolean = StatusLineSearch().let { search -> text.any(search::ends) }

        /** Returns whether a name or value of [headers] holds a status line. */
        fun isIn(headers: HttpHeaders): Boolean = headers.any { (name, value) -> isIn(name) || isIn(value) }
    }
}
