package org.yuccajunction.fleet

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.forward.Destination
import org.yuccajunction.forward.EngineCapacity
import org.yuccajunction.forward.ForwardConfiguration
import org.yuccajunction.forward.ForwardFixture
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.ForwardRoute
import org.yuccajunction.forward.ForwardService
import org.yuccajunction.forward.PromptPart
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.Revision
import org.yuccajunction.model.ServiceName
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Simulates many entries, each with a [LoadBalancer], that send requests to simulated engines under a manual clock.
 *
 * @property policy chooses the engine instead of the load balancers; null to use the load balancers
 * @param onPrediction gets the predicted and the measured milliseconds of each answer
 */
class FleetSimulation(
    seed: Int,
    entries: Int = 8,
    servers: Int = 8,
    private val policy: ((List<SimulatedEngine>, Random) -> SimulatedEngine)? = null,
    speed: SimulatedEngine.EngineSpeed = SimulatedEngine.EngineSpeed(),
    onPrediction: (ServiceName, Double, Double) -> Unit = { _, _, _ -> },
) {
    /**
     * Describes requests of one kind, such as long reports or short questions.
     *
     * @property perSecond mean rate of arrivals
     * @property sharedTokens length of the prompt prefix that requests share
     * @property ownTokens length of the rest of each prompt
     * @property prompts number of different shared prefixes
     * @property targetMillis time within which the first token counts as in time
     */
    class Kind(
        val perSecond: Double,
        val sharedTokens: Int,
        val ownTokens: Int,
        val answerTokens: Int,
        val prompts: Int,
        val targetMillis: Double,
    )

    private val random = Random(seed)
    private val service = ForwardService(ServiceName("service"), 400, engine = EngineCapacity(64, 444_000))
    private val engines = (1..servers).map {
        SimulatedEngine(ForwardFixture.server("server-$it").copy(slots = speed.slots), speed)
    }
    private val names = (1..entries).map { "entry-$it" }
    private val balancers =
        names.map {
            LoadBalancer(it, AvailabilityZone("zone-a"), Random(random.nextInt()), onPrediction = onPrediction)
        }
    private var requests = 0
    private var time = 0.0
    private var removed = emptySet<SimulatedEngine>()

    var requested = 0
        private set
    var inTime = 0
        private set
    var refused = 0
        private set

    val sharedTokensRead: Long get() = engines.sumOf { it.sharedTokensRead }

    init {
        publishSnapshot()
    }

    private fun now() = MonotonicTime.ZERO + time.milliseconds

    private fun publishSnapshot() {
        val configuration =
            ForwardConfiguration(Revision(1), persistentListOf(), persistentMapOf(service.name to service))
        val listed = (engines - removed).map { it.server }.associateBy { it.id }.toPersistentMap()
        val snapshot = FleetSnapshot(configuration, listed, entries = names.toPersistentList())
        balancers.forEach { it.update(snapshot, now()) }
    }

    /** Removes the first [count] engines from the list of servers. */
    fun removeServers(count: Int) {
        removed = engines.take(count).toSet()
        publishSnapshot()
    }

    /**
     * Lets requests of [kinds] arrive for [millis] milliseconds.
     *
     * A fraction [hotShare] of the requests of each kind uses the same shared prefix.
     */
    fun simulate(millis: Int, kinds: List<Kind>, hotShare: Double = 0.0) {
        repeat(millis) {
            time += 1.0
            for (engine in engines) engine.workUntil(time)
            for (kind in kinds) {
                if (random.nextDouble() < kind.perSecond / 1_000) arrive(kind, hotShare)
            }
        }
    }

    private fun arrive(kind: Kind, hotShare: Double) {
        requested += 1
        val request = request(kind, hotShare)
        val entry = balancers[random.nextInt(balancers.size)]
        val chosen = choose(entry, request)
        if (chosen == null) {
            refused += 1
            return
        }
        val ticket = entry.beginAttempt(chosen.server, request, now())
        val arrivedAt = time
        val execution =
            SimulatedEngine.Execution(
                request,
                answered = { at ->
                    entry.recordFirstAnswer(ticket, MonotonicTime.ZERO + at.milliseconds)
                    entry.recordLoadReport(chosen.server.id, chosen.load, MonotonicTime.ZERO + at.milliseconds)
                    if (at - arrivedAt <= kind.targetMillis) inTime += 1
                },
                ended = { at -> entry.endAttempt(ticket, null as AttemptEnd?, MonotonicTime.ZERO + at.milliseconds) },
            )
        chosen.add(execution, time)
    }

    private fun choose(entry: LoadBalancer, request: ForwardRequest): SimulatedEngine? {
        policy?.let { return it(engines - removed, random) }
        val choice = entry.choose(ServerQuery(request), now()) as? ServerChoice.Use ?: return null
        return engines.first { it.server.id == choice.server.id }
    }

    private fun request(kind: Kind, hotShare: Double): ForwardRequest {
        requests += 1
        val prompt = if (random.nextDouble() < hotShare) 0 else random.nextInt(kind.prompts)
        val route =
            ForwardRoute(
                name = "route",
                host = "host",
                pathPrefix = "/",
                destinations = persistentListOf(Destination(service.name)),
                isStream = true,
                mayRepeat = true,
                timeLimit = 8.seconds,
                latencyTarget = kind.targetMillis.milliseconds,
            )
        return ForwardRequest(
            id = "request-$requests",
            route = route,
            service = service.name,
            workspace = null,
            rank = 0,
            receivedAt = now(),
            deadline = now() + 8.seconds,
            promptTokens = kind.sharedTokens + kind.ownTokens,
            answerTokens = kind.answerTokens,
            promptParts =
            persistentListOf(
                PromptPart("shared-${kind.sharedTokens}-$prompt", kind.sharedTokens),
                PromptPart("own-$requests", kind.ownTokens),
            ),
        )
    }

    companion object {
        val REPORT =
            Kind(12.3, sharedTokens = 5_382, ownTokens = 6_610, answerTokens = 378, prompts = 78, targetMillis = 800.0)
        val QUESTION =
            Kind(46.1, sharedTokens = 198, ownTokens = 628, answerTokens = 288, prompts = 658, targetMillis = 800.0)
        val TAG =
            Kind(33.3, sharedTokens = 568, ownTokens = 1_800, answerTokens = 27, prompts = 211, targetMillis = 1_500.0)
        val USUAL = listOf(REPORT, QUESTION, TAG)

        /** Returns [kinds] with [factor] times the rate of arrivals. */
        fun times(factor: Double, kinds: List<Kind> = USUAL): List<Kind> =
            kinds.map {
                Kind(it.perSecond * factor, it.sharedTokens, it.ownTokens, it.answerTokens, it.prompts, it.targetMillis)
            }
    }
}
