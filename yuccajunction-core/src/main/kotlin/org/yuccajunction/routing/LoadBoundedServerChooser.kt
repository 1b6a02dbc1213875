package org.yuccajunction.routing

import org.yuccajunction.model.RefusalReason
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Chooses by prefix affinity with bounded loads, else the better of two random servers by the predicted first token.
 *
 * Requests with the same prompt prefix go to the same server, whose cache holds the prefix, as long as that server is
 * loaded little more than the others. A server in cold start gets a fixed fraction of the attempts up to its cold
 * limit; a suspected server gets a rare probe. Where no server can meet the latency target or has a free permit, the
 * chooser refuses the request at once.
 */
public class LoadBoundedServerChooser : ServerChooser {
    private val admission = RequestAdmission()

    override fun choose(
        query: RoutingQuery,
        table: RoutingTable,
        openRequests: OpenRequests,
        random: Random,
    ): RoutingDecision {
        val service =
            table.services[query.service]
                ?: return refusal(RefusalReason.UNKNOWN_SERVICE, "no service is named ${query.service}", random)
        val usable = service.servers.filter { it.permits > 0 && it.state != ServerState.LEAVING }
        if (usable.isEmpty()) {
            return refusal(
                RefusalReason.NO_BACKEND_SERVER,
                "no server of ${query.service} has permits for this entry",
                random,
            )
        }
        val load =
            RequestAdmission.PermitUsage(
                used = usable.sumOf { openRequests.countAt(it.id) },
                capacity = usable.sumOf { it.permits },
                usedByWorkspace = openRequests.countFor(query.workspace),
            )
        admission.rejectionReason(query, service.kind, table, load)?.takeUnless { query.isRetry() }?.let {
            return refusal(RefusalReason.NO_CAPACITY, it, random)
        }
        val selection = ServerSelection(query, service, table.availabilityZone, openRequests, random)
        return VersionChoice
            .candidateVersions(service, query, random)
            .firstNotNullOfOrNull { version -> selection.selectAndAcquire(usable.filter { it.version == version }) }
            ?.let { RoutingDecision.Use(it) }
            ?: refusal(RefusalReason.NO_CAPACITY, "no server can meet the target of ${query.service} now", random)
    }

    /** Returns whether an attempt of the request failed before; such a request takes precedence over new ones. */
    private fun RoutingQuery.isRetry(): Boolean = failedServers.isNotEmpty()

    private fun refusal(reason: RefusalReason, detail: String, random: Random): RoutingDecision.Refuse {
        val shortest = if (reason == RefusalReason.NO_CAPACITY) SHORT_RETRY_DELAY else LONG_RETRY_DELAY
        return RoutingDecision.Refuse(reason, shortest + random.nextLong(RETRY_JITTER_MILLIS).milliseconds, detail)
    }

    private companion object {
        const val RETRY_JITTER_MILLIS = 1_000L
        val SHORT_RETRY_DELAY: Duration = 1.seconds
        val LONG_RETRY_DELAY: Duration = 3.seconds
    }
}
