package org.yuccajunction.gateway

import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.yuccajunction.gateway.OddAnswers.FIELDS
import org.yuccajunction.gateway.OddAnswers.assertFailures
import java.util.concurrent.TimeUnit

/** Servers whose answers have a status line that the grammar of HTTP doesn't allow. */
@Timeout(120, unit = TimeUnit.SECONDS)
class OddStatusTest {
    /** Guards against a caller that gets an answer whose status is none (MIXED). */
    @ParameterizedTest
    @ValueSource(strings = ["/once/x", "/safe/x", "/stream-once/x", "/stream/x"])
    fun `an answer whose status is none is answered with 502`(path: String) {
        val statuses =
            listOf("000", "0", "00", "0000", "001", "099", "99", "20", "2", "600", "700", "999", "1000", "2000") +
                listOf("0200", "00200", "+200", "-200", "200x", "x200", "2x0", "0x8", "20 0", " 200", "200\u0000") +
                listOf("", "OK", "\u0662\u0660\u0660", "2147483648", "-1", "200.0", "200;", "\t200")
        assertFailures(path, statuses.map { "HTTP/1.1 $it OK\r\n$FIELDS" })
    }

    @ParameterizedTest
    @ValueSource(strings = ["/once/x", "/stream/x"])
    fun `an answer whose status line has another form is answered with 502`(path: String) {
        val lines =
            listOf("HTTP/2.0 200 OK", "HTTP/1 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK", "ICY 200 OK") +
                listOf(
                    "FOO/1.1 200 OK",
                    "HTTP/1.1\t200 OK",
                    "HTTP/1.1  200 OK",
                    " HTTP/1.1 200 OK",
                    "HTTP/1.1 200\tOK",
                ) +
                listOf("\r\nHTTP/1.1 200 OK", "\u0000HTTP/1.1 200 OK", "HTTP/1.1 200 O\u0001K", "HTTP/1.1 200 O\u007fK")
        assertFailures(path, lines.map { "$it\r\n$FIELDS" })
    }
}
