package org.yuccajunction.gateway

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.LoggingEvent
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

class BoundedLineAppenderTest {
    /** Blocks each write until [released], as a pipe does whose reader has stopped. */
    private class BlockedOutput : OutputStream() {
        val released = CountDownLatch(1)
        val written = StringBuffer()

        override fun write(byte: Int) = write(byteArrayOf(byte.toByte()), 0, 1)

        override fun write(bytes: ByteArray, offset: Int, length: Int) {
            released.await()
            written.append(String(bytes, offset, length))
        }
    }

    @Test
    fun `logging does not block on a blocked output, and the number of dropped lines is logged`() {
        val output = BlockedOutput()
        val context = LoggerContext()
        val appender = BoundedLineAppender(output)
        appender.context = context
        appender.start()
        val startedAt = TimeSource.Monotonic.markNow()
        repeat(10_000) {
            val logger = context.getLogger("test")
            appender.doAppend(LoggingEvent("test", logger, Level.INFO, "line $it", null, null))
        }
        assertTrue(startedAt.elapsedNow() < 5.seconds)
        output.released.countDown()
        val deadline = TimeSource.Monotonic.markNow() + 10.seconds
        val expected = listOf("LINES_DROPPED", "\"message\":\"line 0\"")
        while (!expected.all { it in output.written } && deadline.hasNotPassedNow()) {
            appender.flush()
            Thread.sleep(10)
        }
        expected.forEach { assertTrue(it in output.written, it) }
    }

    @Test
    fun `a flush writes every line that was logged before it`() {
        val context = LoggerContext()
        val logger = context.getLogger("test")
        repeat(2_000) {
            val output = ByteArrayOutputStream()
            val appender = BoundedLineAppender(output)
            appender.context = context
            appender.start()
            appender.doAppend(LoggingEvent("test", logger, Level.INFO, "line $it", null, null))
            appender.flush()
            assertTrue("\"message\":\"line $it\"" in output.toString(), "line $it is missing")
            appender.stop()
        }
    }
}
