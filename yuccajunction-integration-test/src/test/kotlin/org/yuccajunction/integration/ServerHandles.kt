package org.yuccajunction.integration

import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.testing.application.ApplicationFaults
import org.yuccajunction.testing.application.ApplicationLedger
import org.yuccajunction.testing.application.ApplicationLedgerRow
import org.yuccajunction.testing.engine.EngineLedger
import org.yuccajunction.testing.engine.ModelEngineFaults
import org.yuccajunction.testing.engine.OrderLedger

/**
 * One backend server.
 *
 * @property direct where the server itself listens
 * @property route the fault proxy's route before the server, null where there is none
 */
abstract class ServerHandle(
    val process: JavaProcess,
    val instance: PlatformInstance,
    val direct: Endpoint,
    val route: RouteHandle?,
) {
    val id: String get() = instance.id.value

    val availabilityZone: String get() = instance.availabilityZone.value

    /** Puts the server back into cold start. */
    fun turnCold(millis: Long, reported: Boolean = false, newIncarnation: Boolean = false) {
        val query = "millis=$millis&reported=$reported&newIncarnation=$newIncarnation"
        Http.sendOrFail(direct, "POST", "/admin/cold?$query")
    }
}

/** One model engine. */
class ModelEngineHandle(process: JavaProcess, instance: PlatformInstance, direct: Endpoint, route: RouteHandle?) :
    ServerHandle(process, instance, direct, route) {
    fun setFaults(faults: ModelEngineFaults) {
        Http.writeJson(direct, "POST", "/admin/faults", ModelEngineFaults.serializer(), faults)
    }

    fun ledger(): EngineLedger = Http.readJson(direct, "/admin/ledger", EngineLedger.serializer())

    fun orders(): OrderLedger = Http.readJson(direct, "/admin/orders", OrderLedger.serializer())
}

/** One application server. */
class ApplicationHandle(process: JavaProcess, instance: PlatformInstance, direct: Endpoint, route: RouteHandle?) :
    ServerHandle(process, instance, direct, route) {
    fun setFaults(faults: ApplicationFaults) {
        Http.writeJson(direct, "POST", "/admin/faults", ApplicationFaults.serializer(), faults)
    }

    fun ledger(): ApplicationLedger = Http.readJson(direct, "/admin/ledger", ApplicationLedger.serializer())

    /** What the server ran, also when it has ended since. */
    fun printedExecutions(): List<ApplicationLedgerRow> =
        process.lines.filter { it.startsWith(RAN) }
            .map { harnessJson.decodeFromString(ApplicationLedgerRow.serializer(), it.removePrefix(RAN)) }

    private companion object {
        const val RAN = "ran "
    }
}
