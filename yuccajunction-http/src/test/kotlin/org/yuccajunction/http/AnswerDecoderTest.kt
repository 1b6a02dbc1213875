package org.yuccajunction.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Answers that are cut into reads at any byte, and parts of answers that have no end. */
class AnswerDecoderTest {
    private val memory = AnswerMemory(maxBytes = 1_000_000)

    /** What a channel with a decoder makes of bytes. */
    private inner class Connection(isAnswerToHead: Boolean = false) {
        private val decoder = AnswerDecoder(memory).also { it.isAnswerToHead = { isAnswerToHead } }
        private val channel = EmbeddedChannel(decoder)

        fun read(bytes: String): List<HttpObject> {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, Charsets.ISO_8859_1))
            return messages()
        }

        fun end(): List<HttpObject> {
            channel.finish()
            return messages()
        }

        private fun messages() = generateSequence { channel.readInbound<HttpObject>() }.toList()
    }

    private fun describe(messages: List<HttpObject>): String {
        val text = StringBuilder()
        for (message in messages) {
            if (message.decoderResult().isFailure) text.append("<invalid>")
            if (message is HttpResponse) text.append("<${message.status().code()} ${message.headers().get("name")}>")
            if (message is HttpContent) text.append(message.content().toString(Charsets.ISO_8859_1))
            if (message is LastHttpContent) text.append("<end ${message.trailingHeaders().get("name")}>")
        }
        return text.toString()
    }

    @Test
    fun `an answer is the same at whatever byte its reads are cut`() {
        val answers =
            mapOf(
                "HTTP/1.1 200 OK\r\nname: v\r\ntransfer-encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n" to
                    "<200 v>good<end null>",
                "HTTP/1.1 200 OK\r\nname: \ta b \r\ncontent-length: 4\r\n\r\ngood" to "<200 a b>good<end null>",
                "HTTP/1.1 500 \r\nname:v\r\nContent-Length:0\r\n\r\n" to "<500 v><end null>",
                "HTTP/1.0 404 Not Found\r\nname: v\r\n\r\nuntil the end" to "<404 v>until the end<end null>",
                "HTTP/1.1 204 No Content\r\nname: v\r\n\r\n" to "<204 v><end null>",
                "HTTP/1.1 103 Early Hints\r\nname: v\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx" to
                    "<103 v><end null><200 null>x<end null>",
                "HTTP/1.1 200 OK\r\nname: v\r\nTransfer-Encoding: Chunked\r\n\r\n" +
                    "4\r\ngood\r\n00a;q=\"x\"\r\n0123456789\r\n" +
                    "0\r\nname: late\r\ncontent-length: 3\r\n\r\n" to "<200 v>good0123456789<end late>",
            )
        for ((bytes, expected) in answers) {
            for (cut in 0..bytes.length) {
                val connection = Connection()
                val messages = connection.read(bytes.take(cut)) + connection.read(bytes.drop(cut)) + connection.end()
                assertEquals(expected, describe(messages), "cut at $cut: $bytes")
            }
            val connection = Connection()
            val messages = bytes.flatMap { connection.read(it.toString()) } + connection.end()
            assertEquals(expected, describe(messages), bytes)
        }
        assertEquals(0, memory.heldBytes)
    }

    @Test
    fun `an answer that is cut off has no end`() {
        val answers =
            listOf("content-length: 4\r\n\r\ngood", "transfer-encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n")
                .map { "HTTP/1.1 200 OK\r\n$it" }
        for (bytes in answers) {
            for (cut in bytes.indices) {
                val connection = Connection()
                val messages = connection.read(bytes.take(cut)) + connection.end()
                assertFalse(messages.any { it is LastHttpContent }, "cut at $cut: $bytes")
            }
        }
        assertEquals(0, memory.heldBytes)
    }

    @Test
    fun `an answer to HEAD ends with its head`() {
        val messages = Connection(isAnswerToHead = true).read("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n")
        assertEquals("<200 null><end null>", describe(messages))
    }

    @Test
    fun `nothing behind bytes that are no answer is read`() {
        val connection = Connection()
        assertTrue(connection.read("HTTP/1.1 000 OK\r\n").single().decoderResult().isFailure)
        assertEquals("", describe(connection.read("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n") + connection.end()))
    }

    /** Guards against memory that grows with what one server sends in a part that never ends. */
    @Test
    fun `a part without end is refused before it has taken much memory`() {
        val chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        val endless =
            listOf(
                "" to "x",
                "" to "\u0000",
                "" to "\r\n",
                "HTTP/1.1 200 " to "x",
                "HTTP/1.1 200 OK\r\n" to "name: value\r\n",
                "HTTP/1.1 200 OK\r\n" to "n:\r\n",
                "HTTP/1.1 200 OK\r\nname: " to "x",
                chunked to "0",
                "${chunked}1;" to "x",
                chunked to "1;${"x".repeat(1_000)}\r\nx\r\n",
                "${chunked}0\r\n" to "name: value\r\n",
                "${chunked}0\r\nname: " to "x",
            )
        for ((start, rest) in endless) {
            val connection = Connection()
            val isInvalid = { messages: List<HttpObject> -> messages.any { it.decoderResult().isFailure } }
            var isRefused = isInvalid(connection.read(start))
            var readBytes = 0
            while (!isRefused && readBytes < MAX_READ_BYTES) {
                isRefused = isInvalid(connection.read(rest))
                readBytes += rest.length
                assertTrue(memory.heldBytes <= MAX_HELD_BYTES, "${memory.heldBytes} bytes of $start$rest are held")
            }
            assertTrue(isRefused, "$readBytes bytes of $start$rest were read")
            assertEquals(0, memory.heldBytes)
        }
    }

    /** Guards against heads without end on many connections, of which each one takes little memory. */
    @Test
    fun `the parts of all connections together are bounded`() {
        val bytes = "HTTP/1.1 200 OK\r\nname: ${"x".repeat(40_000)}"
        val refused =
            List(100) { Connection() }
                .count { connection -> connection.read(bytes).any { it.decoderResult().isFailure } }
        assertTrue(memory.heldBytes <= 1_000_000, "${memory.heldBytes} bytes are held")
        assertEquals(100 - 1_000_000 / 40_022, refused)
    }

    private companion object {
        const val MAX_READ_BYTES = 1_000_000

        /** The bound of a section's lines, and that of its fields. */
        const val MAX_HELD_BYTES = 65_536 + 512 * 128
    }
}
