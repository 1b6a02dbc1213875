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
 * Controls one backend server.
 *
 * @property direct address at which the backend server process listens
 * @property route route of the fault proxy to [direct], null without a fault proxy
 */
abstract class ServerHandle(
    val process: JavaProcess,
    val instance: PlatformInstance,
    val direct: Endpoint,
    val route: RouteHandle?,
) {
    val id: String get() = instance.id.value

    val availabilityZone: String get() = instance.availabilityZone.value

    /**
     * Returns the backend server to cold start for [millis].
     *
     * @param reported whether the load reports of the server show the cold start
     * @param newIncarnation whether the load reports name a new incarnation
     */
    fun turnCold(millis: Long, reported: Boolean = false, newIncarnation: Boolean = false) {
        val query = "millis=$millis&reported=$reported&newIncarnation=$newIncarnation"
        Http.sendOrFail(direct, "POST", "/admin/cold?$query")
    }
}

/** Controls one model engine. */
class ModelEngineHandle(process: JavaProcess, instance: PlatformInstance, direct: Endpoint, route: RouteHandle?) :
    ServerHandle(process, instance, direct, route) {
    fun setFaults(faults: ModelEngineFaults) {
        Http.writeJson(direct, "POST", "/admin/faults", ModelEngineFaults.serializer(), faults)
    }

    fun ledger(): EngineLedger = Http.readJson(direct, "/admin/ledger", EngineLedger.serializer())

    fun orders(): OrderLedger = Http.readJson(direct, "/admin/orders", OrderLedger.serializer())
}

/** Controls one application server. */
class ApplicationHandle(process: JavaProcess, instance: PlatformInstance, direct: Endpoint, route: RouteHandle?) :
    ServerHandle(process, instance, direct, route) {
    fun setFaults(faults: ApplicationFaults) {
        Http.writeJson(direct, "POST", "/admin/faults", ApplicationFaults.serializer(), faults)
    }

    fun ledger(): ApplicationLedger = Http.readJson(direct, "/admin/ledger", ApplicationLedger.serializer())

    /** Returns the executions that the server printed; works also after the process ended. */
    fun printedExecutions(): List<ApplicationLedgerRow> =
        process.lines.filter { it.startsWith(RAN) }
            .map { harnessJson.decodeFromString(ApplicationLedgerRow.serializer(), it.removePrefix(RAN)) }

    private companion object {
        const val RAN = "ran "
    }
}
