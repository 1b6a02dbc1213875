package org.yuccajunction.gateway

import org.yuccajunction.gateway.ScriptedServer.Companion.requestId
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import kotlin.test.assertEquals

/** Sends callers' requests to servers whose answers the grammar of HTTP doesn't allow. */
internal object OddAnswers {
    const val STATUS = "HTTP/1.1 200 OK\r\n"

    /** The fields of an answer that the gateway can pass on, but for those that frame its body. */
    const val NAMED = "id: ID\r\nsignature: s\r\n"
    const val FIELDS = "${NAMED}content-length: 9\r\n"

    /** A whole event, so that a stream would be whole too. */
    const val EVENT = "data: x\n\n"

    /** Bytes that no name may hold; those below a blank and the last one of ASCII no value either. */
    val ODD_BYTES = listOf(0, 1, 8, 0x0b, 0x0c, 0x1f, 0x7f).map { it.toChar() } + listOf('\u00e9', '(', '/', '@', '"')

    /** Returns what callers of [path] get, by the answer in which `ID` stands for the identity of the request. */
    fun exchanges(path: String, answers: List<String>): Map<String, String> =
        answers.associateWith { answer ->
            val server =
                ScriptedServer { request, connection ->
                    connection.send(answer.replace("ID", requestId(request)))
                    connection.close()
                }
            server.use { GatewayFixture(it).use { fixture -> fixture.exchange(path, "b") } }
        }

    /** Heads of which each one breaks the grammar in another way, without the fields of a sound answer. */
    val HEADS: List<String> =
        listOf("000", "099", "600", "999", "0200", "2x0").map { "HTTP/1.1 $it OK\r\n" } +
            listOf("na me: v", " name: v", "name : v", "na\u0001me: v", "name: a\u0000b", "name").map {
                "$STATUS$it\r\n"
            }

    /** Fails where a caller of [path] gets anything but 502 for one of the [heads], behind which [EVENT] stands. */
    fun assertFailures(path: String, heads: List<String>) {
        val answered = exchanges(path, heads.map { "$it\r\n$EVENT" }).mapValues { it.value.lines().first() }
        assertEquals(emptyMap(), answered.filterValues { !it.startsWith("HTTP/1.1 502 ") })
    }
}
