package org.yuccajunction.shortage

import org.yuccajunction.entries.PeerTable
import org.yuccajunction.fleet.SimulatedTime
import org.yuccajunction.forward.WorkspacePolicy
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Simulates entries that admit requests to one service, whose servers have slots and queues, on a simulated clock.
 *
 * @property isAdmissionActive whether the entries decide by [ShortageAdmission], or by the wait at one server alone
 * @property lostFraction fraction of the messages between entries that is lost
 */
class ShortageFleet(
    seed: Int,
    private val entries: Int,
    private val isAdmissionActive: Boolean = true,
    var lostFraction: Double = 0.0,
) {
    private val random = Random(seed)
    private val service = ServiceName("service")
    val time = SimulatedTime(random)
    private val servers = List(SERVERS) { SimulatedServer(time, random.nextDouble(0.6, 1.6), random) }
    private val instances = List(entries) { Entry("entry-$it") }
    private val names = instances.mapTo(HashSet()) { it.name }
    private var rounds = 0
    val outcomes = ArrayList<Outcome>()
    val rejections = ArrayList<Rejected>()

    /** Requests of one class; [slotMillis] is the time for which one occupies a slot of a server of usual speed. */
    class Kind(
        val rank: Int,
        val perSecond: Double,
        val slotMillis: Double,
        val prefillMillis: Double,
        val targetMillis: Double,
        val deadline: Duration,
    )

    /** What became of one request of a caller, over all its tries. */
    class Outcome(val kind: Kind, val workspace: Int, val arrivedAt: Duration, val isServed: Boolean)

    /** One rejection by [ShortageAdmission]; [isRoomLeft] tells whether a tenth of the slots was free. */
    class Rejected(val kind: Kind, val workspace: Int, val at: Duration, val isRoomLeft: Boolean, val after: Duration)

    /** One entry with its own decision object and its own view of the servers. */
    inner class Entry(val name: String) {
        private val meters = OccupancyMeters()
        val admission =
            ShortageAdmission(
                time.clock(),
                random,
                occupancy = { service, now -> meters.occupancy(service, now) },
                onUrgentReport = { time.after(URGENT_DELAY) { send(instances) } },
            ).also { it.update(policies(), setOf(service)) }

        fun send(targets: List<Entry>) {
            val report = admission.report(time.clock())
            for (target in targets) {
                if (target === this || random.nextDouble() < lostFraction) continue
                time.after(HANDOVER_DELAY) { target.admission.recordPeer(name, report, time.clock()) }
            }
        }

        fun loadReported(running: Int, waiting: Int) =
            meters.record(service, running, waiting, SimulatedServer.SLOTS, time.clock())
    }

    init {
        servers.forEach { it.takeSnapshotsUntil(LONGEST_RUN) }
        repeat((LONGEST_RUN / TICK_INTERVAL).toInt()) { tick ->
            time.at(TICK_INTERVAL * tick) { instances.forEach { it.admission.tick(time.clock()) } }
        }
        repeat((LONGEST_RUN / REPORT_INTERVAL).toInt()) { time.at(REPORT_INTERVAL * it) { exchangeReports() } }
    }

    private fun exchangeReports() {
        val receivers = minOf(PeerTable.MAX_HEARTBEAT_TARGETS, entries - 1)
        instances.forEachIndexed { index, entry ->
            entry.admission.retainPeers(names)
            entry.send(List(receivers) { instances[(index + 1 + (rounds * receivers + it) % (entries - 1)) % entries] })
        }
        rounds += 1
    }

    private fun policies() =
        SIZES.mapIndexed { index, size ->
            WorkspacePolicy(workspaceId(index), countsTokens = true, ratePerSecond = size * 1_000.0)
        }

    private fun workspaceId(index: Int) = WorkspaceId("workspace-$index")

    /** Lets requests arrive from now until [until], at [kindFactors] and [workspaceFactors] times the usual rates. */
    fun simulate(
        until: Duration,
        kindFactors: Map<Kind, Double> = emptyMap(),
        workspaceFactors: Map<Int, Double> = emptyMap(),
    ) {
        for (kind in KINDS) {
            SIZES.forEachIndexed { workspace, size ->
                val usual = kind.perSecond * size / SIZES.sum()
                val perSecond = usual * (kindFactors[kind] ?: 1.0) * (workspaceFactors[workspace] ?: 1.0)
                time.repeatAtRandom(until, perSecond) { arrive(kind, workspace, time.now) }
            }
        }
        time.runUntil(until)
    }

    private fun arrive(kind: Kind, workspace: Int, firstArrivedAt: Duration, tries: Int = 1) {
        val entry = instances[random.nextInt(entries)]
        val remaining = firstArrivedAt + kind.deadline - time.now
        val retryAfter = if (isAdmissionActive) shortageRetry(entry, kind, workspace, remaining) else null
        val server = List(CANDIDATES) { servers[random.nextInt(SERVERS)] }.minBy { it.knownLoad }
        val waitMillis = server.knownWaiting * MEAN_SLOT_MILLIS / SimulatedServer.SLOTS
        when {
            retryAfter != null -> retry(kind, workspace, firstArrivedAt, tries, retryAfter)
            waitMillis > longestWaitMillis(kind) ->
                retry(kind, workspace, firstArrivedAt, tries, (random.nextDouble(0.5, 1.0) * waitMillis).milliseconds)
            else -> execute(entry, server, kind, workspace, firstArrivedAt)
        }
    }

    /** Returns the same as the rule of the load balancer for the longest wait. */
    private fun longestWaitMillis(kind: Kind) =
        maxOf(kind.targetMillis * (1.0 + 0.5 / (1.0 + kind.rank)) - kind.prefillMillis, kind.targetMillis * 0.5)

    private fun shortageRetry(entry: Entry, kind: Kind, workspace: Int, remaining: Duration): Duration? {
        val request =
            ShortageRequest(
                service,
                workspaceId(workspace),
                kind.rank,
                kind.slotMillis,
                random.nextLong(),
                kind.targetMillis.milliseconds,
                remaining,
            )
        val decision = entry.admission.decide(request, time.clock()) as? AdmissionDecision.Reject ?: return null
        rejections += Rejected(kind, workspace, time.now, isRoomLeft(), decision.retryAfter)
        return decision.retryAfter
    }

    /** Work in slot milliseconds that the servers complete per second with all slots in use. */
    val capacity: Double get() = servers.sumOf { SimulatedServer.SLOTS * 1_000.0 / it.slowness }

    /** Returns whether a tenth of all slots is free and nothing waits anywhere. */
    fun isRoomLeft(): Boolean =
        servers.sumOf { it.running } <= SERVERS * SimulatedServer.SLOTS * 0.9 && servers.all { it.waiting == 0 }

    private fun retry(kind: Kind, workspace: Int, firstArrivedAt: Duration, tries: Int, after: Duration) {
        val remaining = firstArrivedAt + kind.deadline - time.now
        if (tries == MAX_TRIES || after > remaining / 3) {
            outcomes += Outcome(kind, workspace, firstArrivedAt, isServed = false)
        } else {
            time.after(after) { arrive(kind, workspace, firstArrivedAt, tries + 1) }
        }
    }

    private fun execute(entry: Entry, server: SimulatedServer, kind: Kind, workspace: Int, firstArrivedAt: Duration) {
        val sentAt = time.now
        server.add(
            SimulatedServer.Job(
                kind.prefillMillis,
                kind.slotMillis,
                answered = { running, waiting ->
                    val millis = (time.now - sentAt).toDouble(DurationUnit.MILLISECONDS)
                    outcomes += Outcome(kind, workspace, firstArrivedAt, millis <= kind.targetMillis)
                    time.after(REPORT_DELAY) { entry.loadReported(running, waiting) }
                },
                ended = { entry.admission.recordCompletion(service, kind.slotMillis, time.clock()) },
            ),
        )
    }

    companion object {
        const val SERVERS = 62
        private const val CANDIDATES = 5

        /** Tries of a caller in all. */
        private const val MAX_TRIES = 3

        /** Work of the usual mix per request in slot milliseconds. */
        private const val MEAN_SLOT_MILLIS = 1_100.0
        private val LONGEST_RUN = 50.seconds
        private val TICK_INTERVAL = 40.milliseconds
        private val REPORT_INTERVAL = 500.milliseconds
        private val REPORT_DELAY = 100.milliseconds
        private val URGENT_DELAY = 20.milliseconds
        private val HANDOVER_DELAY = 60.milliseconds

        /** Sizes of the workspaces, by which their quotas and usual rates go. */
        val SIZES = listOf(3, 3, 2) + List(13) { 1 }

        /** Most urgent first; the slot times make up 0.6 of all slots at the usual rates. */
        val QUESTION = Kind(0, 74.3, 1_800.0, 5.0, 308.0, 10.seconds)
        val REPORT = Kind(1, 99.9, 2_500.0, 76.0, 519.0, 10.4.seconds)
        val TAG = Kind(2, 235.0, 260.0, 15.0, 310.0, 2.6.seconds)
        val KINDS = listOf(QUESTION, REPORT, TAG)
    }
}
