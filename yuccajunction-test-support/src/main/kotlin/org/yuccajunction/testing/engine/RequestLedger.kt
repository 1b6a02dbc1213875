package org.yuccajunction.testing.engine

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** Collects requests; the oldest are dropped above a bound. */
internal class RequestLedger {
    private val records = ConcurrentLinkedQueue<RequestRecord>()
    private val size = AtomicInteger()

    fun add(record: RequestRecord) {
        records.add(record)
        if (size.incrementAndGet() > MAXIMUM_ROWS && records.poll() != null) size.decrementAndGet()
    }

    fun rows(): List<EngineLedgerRow> = records.map { it.row() }

    private companion object {
        const val MAXIMUM_ROWS = 50_000
    }
}
