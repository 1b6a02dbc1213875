package org.yuccajunction.testing.engine

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** Collects requests; the oldest are dropped above a bound. */
internal class LedgerBook {
    private val entries = ConcurrentLinkedQueue<LedgerEntry>()
    private val size = AtomicInteger()

    fun add(entry: LedgerEntry) {
        entries.add(entry)
        if (size.incrementAndGet() > MAXIMUM_ROWS && entries.poll() != null) size.decrementAndGet()
    }

    fun rows(): List<EngineLedgerRow> = entries.map { it.row() }

    private companion object {
        const val MAXIMUM_ROWS = 50_000
    }
}
