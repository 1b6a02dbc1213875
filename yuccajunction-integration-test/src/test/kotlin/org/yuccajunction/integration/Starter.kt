package org.yuccajunction.integration

import kotlinx.serialization.KSerializer
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.InstanceRole
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.testing.application.ApplicationSettings
import org.yuccajunction.testing.engine.ModelEngineSettings

/** Starts the single processes of a deployment. */
class Starter(private val plan: DeploymentPlan, private val processes: Processes) {
    lateinit var platform: PlatformHandle
        private set
    lateinit var proxy: ProxyHandle
        private set

    /** Starts the platform and the fault proxy. */
    fun startPlatformAndProxy() {
        val platformProcess = processes.start("platform", "$STAND_INS.platform.PlatformMain", emptyList())
        val proxyProcess = processes.start("proxy", "$STAND_INS.proxy.FaultProxyMain", emptyList())
        platform = PlatformHandle(platformProcess, platformProcess.listening())
        proxy = ProxyHandle(proxyProcess, proxyProcess.listening())
    }

    fun startModel(model: ModelPlan, index: Int, availabilityZone: String? = null): ModelEngineHandle {
        val id = "${model.name}-${model.version}-${index + 1}"
        val settings = settings(ModelEngineSettings.serializer(), model.settings)
        val process = processes.start(id, "$STAND_INS.engine.ModelEngineMain", settings)
        val direct = process.listening()
        val route = if (model.behindProxy) proxy.route(direct) else null
        val instance = register(
            id,
            availabilityZone ?: availabilityZoneOf(index),
            route?.endpoint ?: direct,
            ServiceName(model.name),
            model.version,
        )
        return ModelEngineHandle(process, instance, direct, route)
    }

    fun startApplication(
        application: ApplicationPlan,
        index: Int,
        availabilityZone: String? = null,
    ): ApplicationHandle {
        val id = "${application.name}-${application.version}-${index + 1}"
        val settings = settings(ApplicationSettings.serializer(), application.settings)
        val process = processes.start(id, "$STAND_INS.application.ApplicationMain", settings)
        val direct = process.listening()
        val route = if (application.behindProxy) proxy.route(direct) else null
        val name = ServiceName(application.name)
        val instance = register(
            id,
            availabilityZone ?: availabilityZoneOf(index),
            route?.endpoint ?: direct,
            name,
            application.version,
        )
        return ApplicationHandle(process, instance, direct, route)
    }

    fun startEntry(number: Int): EntryHandle {
        val id = "entry-$number"
        val callerRoute = if (plan.entriesBehindProxy) proxy.route() else null
        val peerRoute = if (plan.entriesBehindProxy) proxy.route() else null
        val platformRoute = if (plan.platformBehindProxy) proxy.route(platform.endpoint) else null
        val advertised = listOfNotNull(
            callerRoute?.let { "--caller-advertise" to it.endpoint.toString() },
            peerRoute?.let { "--peer-advertise" to it.endpoint.toString() },
        ).flatMap { it.toList() }
        val platformUrl = "http://${platformRoute?.endpoint ?: platform.endpoint}"
        val arguments =
            entryArguments(id, availabilityZoneOf(number - 1), platformUrl) + advertised + plan.entryArguments
        val process = processes.start(id, ENTRY_MAIN, arguments, heapMebibytes = 128)
        val caller = process.endpoint("caller ")
        val peer = process.endpoint("peer ")
        val operator = process.endpoint("operator ")
        callerRoute?.setTarget(caller)
        peerRoute?.setTarget(peer)
        process.awaitLine("ready")
        return EntryHandle(
            process, id, availabilityZoneOf(number - 1), caller, peer, operator, callerRoute, peerRoute, platformRoute,
        )
    }

    private fun entryArguments(id: String, availabilityZone: String, platformUrl: String): List<String> =
        listOf(
            "--instance-id" to id,
            "--availability-zone" to availabilityZone,
            "--caller-listen" to "127.0.0.1:${FreePorts.next()}",
            "--peer-listen" to "127.0.0.1:${FreePorts.next()}",
            "--operator-listen" to "127.0.0.1:${FreePorts.next()}",
            "--platform-url" to platformUrl,
            "--shutdown-notice-seconds" to "${plan.shutdownNoticeSeconds}",
        ).flatMap { it.toList() }

    private fun register(
        id: String,
        availabilityZone: String,
        endpoint: Endpoint,
        service: ServiceName,
        version: String,
    ): PlatformInstance {
        val instance = PlatformInstance(
            id = InstanceId(id),
            role = InstanceRole.BACKEND_SERVER,
            availabilityZone = AvailabilityZone(availabilityZone),
            endpoint = endpoint,
            service = service,
            version = ServiceVersion(version),
        )
        platform.register(instance)
        return instance
    }

    private fun availabilityZoneOf(index: Int): String =
        plan.availabilityZoneNames[index % plan.availabilityZoneNames.size]

    private fun <T> settings(serializer: KSerializer<T>, value: T): List<String> =
        listOf("--settings", harnessJson.encodeToString(serializer, value))

    private fun JavaProcess.listening(): Endpoint = endpoint("listening ")

    private fun JavaProcess.endpoint(prefix: String): Endpoint = checkNotNull(Endpoint.parse(awaitLine(prefix)))

    private companion object {
        const val STAND_INS = "org.yuccajunction.testing"
        const val ENTRY_MAIN = "org.yuccajunction.entry.EntryMain"
    }
}
