package org.yuccajunction.forward

import kotlinx.collections.immutable.PersistentList
import org.yuccajunction.model.ServiceName
import kotlin.random.Random
import kotlin.time.Duration

/**
 * A rule by which requests are forwarded unchanged to a service.
 *
 * @property pathPrefix prefix of the paths of the route; begins and ends with a slash
 * @property isStream whether the answer is a stream of server-sent events
 * @property mayRepeat whether a request may be executed more than once; a stream may then resume at another server
 * @property timeLimit longest time from a request to the end of the whole answer
 * @property latencyTarget time within which the answer, or the first event of a stream, should arrive
 * @property rank urgency of the requests on this route; 0 is the most urgent
 * @property maxExecutions most backend servers at which one request may be executed
 * @property isPublic whether requests need no API key
 */
public data class ForwardRoute(
    public val name: String,
    public val host: String,
    public val pathPrefix: String,
    public val destinations: PersistentList<Destination>,
    public val isStream: Boolean,
    public val mayRepeat: Boolean,
    public val timeLimit: Duration,
    public val latencyTarget: Duration,
    public val rank: Int = 0,
    public val maxExecutions: Int = 1,
    public val isPublic: Boolean = false,
) {
    init {
        require(destinations.isNotEmpty()) { "route $name has no destination" }
        require(pathPrefix.startsWith('/')) {
            "path prefix of route $name does not begin with a slash: \"$pathPrefix\""
        }
    }

    /** Returns a random service for one request, by the weights of the destinations. */
    public fun destination(random: Random): ServiceName {
        val total = destinations.sumOf { it.weight }
        if (destinations.size == 1 || total <= 0.0) return destinations.first().service
        var left = random.nextDouble(total)
        for (destination in destinations) {
            left -= destination.weight
            if (left < 0.0) return destination.service
        }
        return destinations.last { it.weight > 0.0 }.service
    }
}
