package org.yuccajunction.testing.engine

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** Records requests; drops the oldest above [MAXIMUM_ROWS]. */
internal class RequestLedger {
    private val records = ConcurrentLinkedQueue<RequestRecord>()
    private val size = AtomicInteger()

    /** Adds a request. */
    fun add(record: RequestRecord) {
        records.add(record)
        if (size.incrementAndGet() > MAXIMUM_ROWS && records.poll() != null) size.decrementAndGet()
    }

    /** Returns the recorded requests, oldest first. */
    fun rows(): List<EngineLedgerRow> = records.map { it.row() }

    private companion object {
        const val MAXIMUM_ROWS = 50_000
    }
}
