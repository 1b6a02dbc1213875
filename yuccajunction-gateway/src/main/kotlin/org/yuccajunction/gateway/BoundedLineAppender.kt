package org.yuccajunction.gateway

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.Semaphore
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/**
 * Writes one JSON object a line to [output] in batches, without ever blocking a thread that logs.
 *
 * Lines that come while the queue is full are dropped; their number is written with the next batch.
 */
public class BoundedLineAppender(private val output: OutputStream) : AppenderBase<ILoggingEvent>() {
    private val lines = ArrayBlockingQueue<String>(CAPACITY_LINES)
    private val dropped = AtomicLong()

    /** Holds a permit while lines wait for the writer; a line leaves the queue only to be written. */
    private val waiting = Semaphore(0)

    override fun start() {
        super.start()
        thread(name = "log-writer", isDaemon = true, block = ::writeLines)
    }

    override fun append(event: ILoggingEvent) {
        if (!lines.offer(LogLine.of(event))) dropped.incrementAndGet()
        if (waiting.availablePermits() == 0) waiting.release()
    }

    /** Writes what is queued; for the end of the process. */
    @Synchronized
    public fun flush() {
        val batch = ArrayList<String>()
        lines.drainTo(batch)
        write(batch)
    }

    private fun writeLines() {
        while (true) {
            waiting.acquire()
            Thread.sleep(BATCH_MILLIS)
            waiting.drainPermits()
            flush()
        }
    }

    private fun write(batch: List<String>) {
        val text = StringBuilder()
        batch.forEach { text.append(it).append('\n') }
        val lost = dropped.getAndSet(0)
        if (lost > 0) text.append(LogLine.dropped(lost)).append('\n')
        if (text.isEmpty()) return
        output.write(text.toString().toByteArray())
        output.flush()
    }

    private companion object {
        const val CAPACITY_LINES = 2_000
        const val BATCH_MILLIS = 200L
    }
}
