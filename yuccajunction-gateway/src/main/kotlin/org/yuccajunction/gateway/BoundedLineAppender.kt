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
    private val droppedLines = AtomicLong()

    /** Holds a permit while lines wait for the writer; a line leaves the queue only to be written. */
    private val linesWaiting = Semaphore(0)

    override fun start() {
        super.start()
        thread(name = "log-writer", isDaemon = true, block = ::writeLines)
    }

    override fun append(event: ILoggingEvent) {
        if (!lines.offer(LogLine.format(event))) droppedLines.incrementAndGet()
        if (linesWaiting.availablePermits() == 0) linesWaiting.release()
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
            linesWaiting.acquire()
            Thread.sleep(BATCH_DELAY_MILLIS)
            linesWaiting.drainPermits()
            flush()
        }
    }

    private fun write(batch: List<String>) {
        val text = StringBuilder()
        batch.forEach { text.append(it).append('\n') }
        val newlyDropped = droppedLines.getAndSet(0)
        if (newlyDropped > 0) text.append(LogLine.formatDropped(newlyDropped)).append('\n')
        if (text.isEmpty()) return
        output.write(text.toString().toByteArray())
        output.flush()
    }

    private companion object {
        const val CAPACITY_LINES = 2_000
        const val BATCH_DELAY_MILLIS = 200L
    }
}
