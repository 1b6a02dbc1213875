package org.yuccajunction.fleet

import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName

/**
 * This entry's knowledge of the prompts that servers hold in their caches.
 *
 * What servers hold is learned from the traffic of services whose servers report a pace; for all others, it is
 * estimated by fixed fractions.
 */
internal class PromptCaches {
    private val traffic = HashMap<ServiceName, PromptTraffic>()

    /** Records that a server of [service] has reported its pace. */
    fun recordPace(service: ServiceName, now: MonotonicTime) {
        traffic.getOrPut(service) { PromptTraffic(now) }
    }

    /** Returns the estimate of what [candidates] hold of the prompt of [request]. */
    fun affinity(
        request: ForwardRequest,
        candidates: List<ServerLoad>,
        entries: Int,
        now: MonotonicTime,
    ): PrefixAffinity {
        val known = traffic[request.service] ?: return RankedPrefixAffinity(request, candidates)
        return LearnedPrefixAffinity(request, candidates, known, maxOf(1, entries), now)
    }

    /** Records that [request] is sent to the server of [load], of whose cache [affinity] is the estimate. */
    fun recordAttempt(affinity: PrefixAffinity, request: ForwardRequest, load: ServerLoad, now: MonotonicTime) {
        if (affinity is LearnedPrefixAffinity) {
            val running = runningTokens(request)
            traffic[request.service]
                ?.record(
                    request.route.name,
                    affinity.sharedPrefix,
                    affinity.rank(load),
                    affinity.prefillTokens(load),
                    running,
                    now,
                )
        }
        load.prefixCache.remember(request.promptParts, now)
    }

    /** Forgets all services but those in [known]. */
    fun retainServices(known: Set<ServiceName>) {
        traffic.keys.retainAll(known)
    }

    companion object {
        /** Returns the memory that [request] takes while it runs, beside prompt parts that others may share. */
        fun runningTokens(request: ForwardRequest): Int =
            (request.promptParts.lastOrNull()?.tokens ?: request.promptTokens) + request.answerTokens
    }
}
