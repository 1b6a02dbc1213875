package org.yuccajunction.gateway

import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.yuccajunction.gateway.OddAnswers.FIELDS
import org.yuccajunction.gateway.OddAnswers.ODD_BYTES
import org.yuccajunction.gateway.OddAnswers.STATUS
import org.yuccajunction.gateway.OddAnswers.assertFailures
import java.util.concurrent.TimeUnit

/** Servers whose answers have a field line that the grammar of HTTP doesn't allow. */
@Timeout(120, unit = TimeUnit.SECONDS)
class OddFieldTest {
    /** Guards against a field name that is cut, passed on or takes effect although it is none (MIXED). */
    @ParameterizedTest
    @ValueSource(strings = ["/once/x", "/safe/x", "/stream-once/x", "/stream/x"])
    fun `an answer with a field name that is none is answered with 502`(path: String) {
        val names =
            listOf("na me", " name", "\tname", "name ", "name\t", "na\tme", "", " ") + ODD_BYTES.map { "na${it}me" }
        val framing = listOf("content-length ", " content-length", "transfer-encoding ", "content-length x")
        val lines = names.map { "$it: value" } + framing.map { "$it: 2" } + listOf("name", "name value", "a b c: d")
        assertFailures(path, lines.flatMap { listOf("$STATUS$it\r\n$FIELDS", "$STATUS$FIELDS$it\r\n") })
    }

    /** Guards against a signature or a request's identity that stands under a name that is none. */
    @ParameterizedTest
    @ValueSource(strings = ["/once/x", "/stream/x"])
    fun `a name that is none says nothing of the answer`(path: String) {
        val cut = listOf("id" to "id ", "signature" to "signature\t", "id" to " id", "signature" to "signature x")
        assertFailures(path, cut.map { (name, odd) -> STATUS + FIELDS.replace("$name:", "$odd:") })
    }

    @ParameterizedTest
    @ValueSource(strings = ["/once/x", "/stream/x"])
    fun `an answer with a control byte in a value or a line without its end is answered with 502`(path: String) {
        val values = ODD_BYTES.filter { it < ' ' || it == '\u007f' }.map { "name: a${it}b\r\n" }
        val ends = listOf("name: a\n", "name: a\r", "name: a\r\r\n", "name: a\r\n b\r\n", "name: a\r\n\tb\r\n")
        assertFailures(path, (values + ends).map { "$STATUS$it$FIELDS" })
    }
}
