package org.yuccajunction.entry.operating

import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.operator.ExplainMessage
import org.yuccajunction.operator.RoutingExplanation
import org.yuccajunction.routing.OpenRequests
import org.yuccajunction.routing.RoutingDecision
import org.yuccajunction.routing.RoutingQuery
import org.yuccajunction.routing.RoutingTable
import org.yuccajunction.routing.ServerChooser
import org.yuccajunction.routing.ServerRoute
import kotlin.random.Random

/** Explains routing choices: asks [chooser] for a backend server and releases the acquired permit at once. */
public class RoutingExplainer(
    private val entry: EntryIncarnation,
    private val table: () -> RoutingTable,
    private val openRequests: OpenRequests,
    private val chooser: ServerChooser,
    private val random: Random,
) {
    /** Returns the backend server that the request in [message] would be sent to now, or why it would be rejected. */
    public fun explain(message: ExplainMessage): RoutingExplanation {
        val table = table()
        val service = table.services[message.service]
        val candidates = service?.servers.orEmpty().map(::candidate)
        val choice = chooser.choose(queryOf(message), table, openRequests, random)
        if (choice is RoutingDecision.Use) openRequests.release(choice.server.id)
        return RoutingExplanation(
            entry = entry,
            revision = table.revision,
            chosen = (choice as? RoutingDecision.Use)?.server?.id,
            detail = describe(choice),
            shares = service?.versionShares.orEmpty(),
            candidates = candidates,
        )
    }

    private fun queryOf(message: ExplainMessage) =
        RoutingQuery(
            service = message.service,
            workspace = message.workspace,
            requestClass = message.requestClass,
            route = message.route,
            promptTokens = message.promptTokens,
        )

    private fun candidate(server: ServerRoute) =
        RoutingExplanation.Candidate(
            id = server.id,
            availabilityZone = server.availabilityZone,
            version = server.version,
            state = server.state,
            openRequests = openRequests.countAt(server.id),
            permits = server.permits,
            limit = server.limit,
            reportAgeMillis = server.report?.let { server.reportAgeMillis },
        )

    private fun describe(choice: RoutingDecision): String =
        when (choice) {
            is RoutingDecision.Use -> "goes to ${choice.server.id} in ${choice.server.availabilityZone}"
            is RoutingDecision.Refuse ->
                "is refused (${choice.reason.code}), again in ${choice.retryAfter}: ${choice.detail}"
        }
}
