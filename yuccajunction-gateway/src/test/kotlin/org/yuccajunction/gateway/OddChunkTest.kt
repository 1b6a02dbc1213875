package org.yuccajunction.gateway

import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.yuccajunction.gateway.OddAnswers.EVENT
import org.yuccajunction.gateway.OddAnswers.NAMED
import org.yuccajunction.gateway.OddAnswers.STATUS
import org.yuccajunction.gateway.OddAnswers.exchanges
import java.util.concurrent.TimeUnit
import kotlin.test.assertTrue

/** Servers whose answers have chunks or trailers that the grammar of HTTP doesn't allow. */
@Timeout(120, unit = TimeUnit.SECONDS)
class OddChunkTest {
    @ParameterizedTest
    @ValueSource(strings = ["/once/x", "/safe/x", "/stream-once/x", "/stream/x"])
    fun `an answer whose chunks have another form is answered with 502 or broken off`(path: String) {
        val bodies =
            listOf("x", "9 x", "9 ", " 9", "+9", "-9", "9\u0001", "9,", "", "0x9", "FFFFFFFFFFFFFFFFF").map {
                "$it\r\n$EVENT\r\n"
            } +
                listOf(
                    "9\n$EVENT\r\n",
                    "9\r\n${EVENT}XX\r\n",
                    "9\r\n$EVENT\n",
                    "9\r\n$EVENT",
                    "9\r\n$EVENT\r\r\n",
                    "8\r\n$EVENT\r\n",
                )
        val trailers = listOf("na me: v", " name: v", "name : v", ": v", "name", "na\u0001me: v", "name: a\u0000b")
        val chunked = "${STATUS}transfer-encoding: chunked\r\n$NAMED\r\n"
        val answers =
            bodies.map { "$chunked${it}0\r\n\r\n" } + trailers.map { "${chunked}9\r\n$EVENT\r\n0\r\n$it\r\n\r\n" }
        for ((answer, answered) in exchanges(path, answers)) {
            val isFailure = answered.startsWith("HTTP/1.1 502 ")
            val isBrokenOff = "stream" in path && !answered.endsWith("0\r\n\r\n")
            assertTrue(isFailure || isBrokenOff, "$answer was answered with $answered")
        }
    }
}
