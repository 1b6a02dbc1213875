package org.yuccajunction.gateway

import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.yuccajunction.gateway.OddAnswers.NAMED
import org.yuccajunction.gateway.OddAnswers.STATUS
import org.yuccajunction.gateway.OddAnswers.assertFailures
import java.util.concurrent.TimeUnit

/** Servers whose answers have a body whose end can be read in more than one way. */
@Timeout(120, unit = TimeUnit.SECONDS)
class OddLengthTest {
    /** Guards against a body that is not the server's, since its length can be read in more than one way. */
    @ParameterizedTest
    @ValueSource(strings = ["/once/x", "/stream/x"])
    fun `an answer whose length can be read in two ways is answered with 502`(path: String) {
        val lengths = listOf("+9", "-9", "9 9", "9, 9", "9,8", "0x9", "", "99999999999999999999", "9.0", "9;a")
        val codings = listOf("gzip", "gzip, chunked", "chunked, gzip", "identity", "chunked, chunked", "xchunked", "")
        val lines =
            lengths.map { "content-length: $it\r\n" } + codings.map { "transfer-encoding: $it\r\n" } +
                listOf("content-length: 9\r\ncontent-length: 8\r\n", "content-length: 9\r\ncontent-length: 9\r\n") +
                listOf("content-length: 9\r\ntransfer-encoding: chunked\r\n")
        assertFailures(path, lines.map { "$STATUS$it$NAMED" })
    }
}
