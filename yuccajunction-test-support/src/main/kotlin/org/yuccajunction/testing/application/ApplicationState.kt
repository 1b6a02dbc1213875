package org.yuccajunction.testing.application

import org.yuccajunction.testing.ServerLoad
import org.yuccajunction.testing.standInJson
import java.util.concurrent.atomic.AtomicInteger

/** State of the application stand-in. */
internal class ApplicationState(val settings: ApplicationSettings) {
    val load = ServerLoad(settings.coldMillis, settings.coldRequestLimit, settings.reportLagMillis)
    private val rows = ArrayList<ApplicationLedgerRow>()
    private val received = AtomicInteger()

    @Volatile
    var faults = ApplicationFaults()

    /** Counts a call of [path] as received and returns the faults that apply to the call. */
    @Synchronized
    fun faultsForNextCall(path: String): ApplicationFaults {
        received.incrementAndGet()
        val current = faults
        if (!path.startsWith(current.badPathPrefix)) return ApplicationFaults()
        val remaining = current.remaining ?: return current
        if (remaining == 0) return ApplicationFaults()
        faults = current.copy(remaining = remaining - 1)
        return current
    }

    /** Returns whether the current call belongs to the evenly spread share [failShare] of calls that fail. */
    fun failsCurrentCall(failShare: Double): Boolean {
        val number = received.get()
        return ((number + 1) * failShare).toLong() > (number * failShare).toLong()
    }

    /** Adds [row] to the ledger and prints the row, so that the record outlives the process. */
    @Synchronized
    fun recordExecution(row: ApplicationLedgerRow) {
        rows += row
        println("ran " + standInJson.encodeToString(ApplicationLedgerRow.serializer(), row))
        System.out.flush()
    }

    /** Returns a copy of the ledger. */
    @Synchronized
    fun ledger(): ApplicationLedger = ApplicationLedger(rows.toList(), received.get(), load.counts())
}
