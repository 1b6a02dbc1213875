package org.yuccajunction.testing.application

import org.yuccajunction.testing.ServerLoad
import org.yuccajunction.testing.standInJson
import java.util.concurrent.atomic.AtomicInteger

/** Everything that the application stand-in keeps. */
internal class ApplicationState(val settings: ApplicationSettings) {
    val load = ServerLoad(settings.coldMillis, settings.coldRequestLimit, settings.reportLagMillis)
    private val rows = ArrayList<ApplicationLedgerRow>()
    private val received = AtomicInteger()

    @Volatile
    var faults = ApplicationFaults()

    /** Counts the call in and returns the faults that apply to it. */
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

    /** Returns whether the call now under way is among the share [failShare], spread evenly. */
    fun failsCurrentCall(failShare: Double): Boolean {
        val number = received.get()
        return ((number + 1) * failShare).toLong() > (number * failShare).toLong()
    }

    /** Keeps [row] and prints it, so that it outlives the process. */
    @Synchronized
    fun recordExecution(row: ApplicationLedgerRow) {
        rows += row
        println("ran " + standInJson.encodeToString(ApplicationLedgerRow.serializer(), row))
        System.out.flush()
    }

    @Synchronized
    fun ledger(): ApplicationLedger = ApplicationLedger(rows.toList(), received.get(), load.counts())
}
