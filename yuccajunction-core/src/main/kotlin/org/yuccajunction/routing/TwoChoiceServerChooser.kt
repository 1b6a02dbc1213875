package org.yuccajunction.routing

import org.yuccajunction.model.RefusalReason
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Takes the less loaded of two servers picked at random, and the least loaded of all when neither has a permit. */
public class TwoChoiceServerChooser : ServerChooser {
    override fun choose(
        query: RoutingQuery,
        table: RoutingTable,
        openRequests: OpenRequests,
        random: Random,
    ): Choice {
        val service =
            table.services[query.service]
                ?: return Choice.Refuse(RefusalReason.UNKNOWN_SERVICE, RETRY_AFTER, "no service ${query.service}")
        val usable = service.servers.filter {
            it.permits > 0 && it.state != ServerState.LEAVING && it.id !in query.avoid
        }
        val candidates = usable.sortedBy { openRequests.at(it.id).toDouble() / it.permits }
        val pair = usable.shuffled(random).take(2).sortedBy { openRequests.at(it.id).toDouble() / it.permits }
        val chosen = (pair + candidates).firstOrNull { openRequests.tryAcquire(it.id, it.permits) }
        if (chosen != null) return Choice.Use(chosen)
        val reason = if (usable.isEmpty()) RefusalReason.NO_BACKEND_SERVER else RefusalReason.NO_CAPACITY
        return Choice.Refuse(reason, RETRY_AFTER, "${usable.size} servers of ${query.service}, none with a permit left")
    }

    private companion object {
        val RETRY_AFTER = 1.seconds
    }
}
