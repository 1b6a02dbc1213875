package org.yuccajunction.entry

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.yuccajunction.adapters.peer.GrpcPeerServer
import org.yuccajunction.control.Blackboard
import org.yuccajunction.control.ConfigurationController
import org.yuccajunction.control.ControlEvent
import org.yuccajunction.control.ControllerChain
import org.yuccajunction.control.InstanceController
import org.yuccajunction.control.LeaseController
import org.yuccajunction.control.LogEvent
import org.yuccajunction.control.MembershipController
import org.yuccajunction.control.RolloutController
import org.yuccajunction.control.ServerController
import org.yuccajunction.entry.operating.OperatorContext
import org.yuccajunction.entry.operating.OperatorsFile
import org.yuccajunction.entry.operating.RoutingExplainer
import org.yuccajunction.entry.operating.operatorApi
import org.yuccajunction.entry.serving.CallerServer
import org.yuccajunction.entry.serving.ServingContext
import org.yuccajunction.entry.serving.ServingLimits
import org.yuccajunction.entry.serving.ServingPorts
import org.yuccajunction.membership.EntryState
import org.yuccajunction.membership.MembershipState
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.InstanceRole
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.model.Revision
import org.yuccajunction.routing.LoadBoundedServerChooser
import org.yuccajunction.routing.OpenRequests
import java.time.Instant
import java.util.concurrent.CountDownLatch
import kotlin.random.Random
import kotlin.random.asKotlinRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One entry: connects controllers, adapters and servers, starts them, and shuts them down in order. */
public class EntryProcess(private val settings: EntrySettings) {
    private val clock: () -> MonotonicTime = { MonotonicTime(System.nanoTime()) }
    private val random: Random = java.util.Random(settings.seed ?: System.nanoTime()).asKotlinRandom()
    private val self = EntryIncarnation(settings.instanceId, System.currentTimeMillis())
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val meters = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val externalSystems = ExternalSystems(settings) { EntryMeters.countStoreCall(meters, it) }
    private val membership = MembershipController()
    private val chooser = LoadBoundedServerChooser()
    private val openRequests = OpenRequests()
    private val operatorsFile = settings.operatorsFile?.let(::OperatorsFile)
    private val callerPort = PortReservation.of(settings.callerListen)
    private val peerPort = PortReservation.of(settings.peerListen)
    private val control: ControlThread = createControl()
    private val readiness = Readiness(control)
    private val callerServer = CallerServer(callerPort.release(), servingContext())
    private val peerServer =
        GrpcPeerServer(
            peerPort.release(),
            EntryPeerHandler(control, membership, callerServer.peerHandler, random),
            externalSystems.peerTraffic,
        )
    private val operatorServer =
        OperatorServer(settings.operatorListen, {
            control.board
        }, { readiness.isReady }, meters) { operatorApi(operatorContext()) }
    private val ended = CountDownLatch(1)
    private lateinit var operatorEndpoint: Endpoint

    /** Starts all parts; returns when all ports are open. */
    public fun start() {
        control.start(scope)
        peerServer.start()
        callerServer.start()
        operatorEndpoint = operatorServer.start()
        EntryMeters.register(meters, control, externalSystems.peerTraffic)
        scope.launch { registerUntilAccepted() }
        scope.launch { reportLoad() }
        EventLog.write(LogEvent.ENTRY_STARTED, "entry=$self caller=${callerPort.endpoint}")
    }

    /** Returns the lines that report the addresses in use, one for each port. */
    public fun addresses(): List<String> =
        listOf("caller ${callerPort.endpoint}", "peer ${peerPort.endpoint}", "operator $operatorEndpoint")

    /** Blocks until the entry is ready, or has shut down. */
    public fun awaitReady() {
        while (!readiness.isReady && ended.count > 0) Thread.sleep(READY_POLL_INTERVAL.inWholeMilliseconds)
    }

    /** Blocks until [shutDown] has finished. */
    public fun awaitEnd() {
        ended.await()
    }

    /** Drains the entry within the shutdown notice, then stops all parts. */
    public fun shutDown() {
        val notice = settings.shutdownNotice
        EventLog.write(LogEvent.SHUTDOWN_BEGUN, "notice=$notice")
        control.post(ControlEvent.ShutdownAnnounced(notice))
        runBlocking {
            externalSystems.instances.register(platformInstance(leaving = true))
            callerServer.drain(notice - STOP_RESERVE - SUCCESSOR_SPREAD_TIME)?.let { announceSuccessor(it) }
            externalSystems.instances.deregister(settings.instanceId)
        }
        callerServer.stop()
        peerServer.stop(PEER_STOP_TIMEOUT)
        operatorServer.stop()
        scope.cancel()
        control.close()
        externalSystems.close()
        EventLog.write(LogEvent.SHUTDOWN_FINISHED, "entry=$self")
        ended.countDown()
    }

    /** Announces the entry that now holds this entry's records, and waits while heartbeats tell the peers. */
    private suspend fun announceSuccessor(successor: EntryIncarnation) {
        control.post(ControlEvent.HandOverAnswered(successor, accepted = true))
        delay(SUCCESSOR_SPREAD_TIME)
    }

    private fun createControl(): ControlThread {
        val controllers =
            persistentListOf(
                membership,
                InstanceController(),
                ConfigurationController(),
                LeaseController(),
                ServerController(),
                RolloutController(),
            )
        val state = ControllerChain(Blackboard(clock(), MembershipState(initialState())), controllers, random)
        lateinit var control: ControlThread
        val performer =
            CommandPerformer(scope, externalSystems.controlPorts(), { control.board.deployment }, { control.post(it) })
        control = ControlThread(state, clock, performer::perform)
        return control
    }

    private fun servingContext(): ServingContext =
        ServingContext(
            self = self,
            callerEndpoint = callerEndpoint(),
            table = { control.table },
            chooser = LoadBoundedServerChooser(),
            openRequests = OpenRequests(),
            ports = ServingPorts(
                externalSystems.engine,
                externalSystems.application,
                externalSystems.peers,
                externalSystems.objects,
            ),
            observe = control::observe,
            clock = clock,
            random = random,
            limits =
            ServingLimits(
                bodyBytes = settings.bodyLimitBytes.toInt(),
                openRequests = settings.openRequestLimit,
            ),
            meters = meters,
        )

    private fun operatorContext(): OperatorContext =
        OperatorContext(
            board = { control.board },
            objects = externalSystems.objects,
            openRequests = openRequests,
            explain = RoutingExplainer(self, { control.table }, openRequests, chooser, random)::explain,
            operators = { operatorsFile?.operators().orEmpty() },
            currentInstant = { Instant.now().toString() },
            pauseBeforeAttempt = { attempt -> delay(random.nextLong(1, EDIT_BACKOFF_MILLIS * attempt).milliseconds) },
        )

    private fun initialState(): EntryState =
        EntryState(
            entry = self,
            stateVersion = 0,
            availabilityZone = settings.availabilityZone,
            callerEndpoint = callerEndpoint(),
            peerEndpoint = peerEndpoint(),
            revision = Revision.NONE,
            starting = true,
        )

    private fun callerEndpoint(): Endpoint = settings.callerAdvertise ?: callerPort.endpoint

    private fun peerEndpoint(): Endpoint = settings.peerAdvertise ?: peerPort.endpoint

    private fun platformInstance(leaving: Boolean): PlatformInstance =
        PlatformInstance(
            id = settings.instanceId,
            role = InstanceRole.ENTRY,
            availabilityZone = settings.availabilityZone,
            endpoint = callerEndpoint(),
            leaving = leaving,
            peerEndpoint = peerEndpoint(),
        )

    private suspend fun registerUntilAccepted() {
        while (!externalSystems.instances.register(
                platformInstance(leaving = false),
            )
        ) {
            delay(REGISTRATION_RETRY_INTERVAL)
        }
    }

    private fun loadMeasured() =
        ControlEvent.LoadMeasured(
            openRequests = callerServer.openRequests,
            openRequestLimit = settings.openRequestLimit,
            identityEpoch = callerServer.identityEpoch,
            isStarting = readiness.isStarting,
        )

    private suspend fun reportLoad() {
        while (scope.isActive) {
            control.post(loadMeasured())
            delay(LOAD_REPORT_INTERVAL)
        }
    }

    private companion object {
        const val EDIT_BACKOFF_MILLIS = 100L
        val READY_POLL_INTERVAL: Duration = 20.milliseconds
        val REGISTRATION_RETRY_INTERVAL: Duration = 500.milliseconds
        val LOAD_REPORT_INTERVAL: Duration = 500.milliseconds
        val SUCCESSOR_SPREAD_TIME: Duration = 1_500.milliseconds
        val STOP_RESERVE: Duration = 1.seconds
        val PEER_STOP_TIMEOUT: Duration = 500.milliseconds
    }
}
