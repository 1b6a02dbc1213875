package org.yuccajunction.forward

import kotlinx.collections.immutable.PersistentList
import org.yuccajunction.model.ServiceName
import kotlin.random.Random
import kotlin.time.Duration

/**
 * A rule by which requests are passed on to a service as they are.
 *
 * @property pathPrefix start of the paths that the route takes; begins and ends with a slash
 * @property isStream whether the answer is a series of server-sent events
 * @property mayRepeat whether a request may run more than once; a stream may then be resumed at another server
 * @property timeLimit the longest time that a caller is kept waiting for the whole answer
 * @property latencyTarget the time within which the answer, or the first event of a stream, is worth most
 * @property rank urgency among the routes; 0 is the most urgent
 * @property maxExecutions on how many backend servers one request may run at most
 * @property isPublic whether requests need no key
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
        require(pathPrefix.startsWith('/')) { "path prefix does not begin with a slash: \"$pathPrefix\"" }
    }

    /** Draws the service of one request by the weights of the destinations. */
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
