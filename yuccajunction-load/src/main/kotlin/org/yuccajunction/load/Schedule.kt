package org.yuccajunction.load

import kotlin.math.ln
import kotlin.random.Random

private const val NANOSECONDS_IN_SECOND = 1e9
private const val VOCABULARY_WORDS = 50_000

/** Generates the schedule of a load from the settings and a seed. */
public object Schedule {
    /** Returns all requests by time; the intervals between requests are exponentially distributed. */
    public fun of(settings: LoadSettings, seed: Long): List<ScheduledRequest> {
        val random = Random(seed)
        val endNanos = (settings.warmUpSeconds + settings.seconds) * NANOSECONDS_IN_SECOND
        val requests = mutableListOf<ScheduledRequest>()
        var atNanos = nextIntervalNanos(settings, random)
        while (atNanos < endNanos) {
            requests += request(settings, requests.size, atNanos.toLong(), random)
            atNanos += nextIntervalNanos(settings, random)
        }
        return requests
    }

    private fun nextIntervalNanos(settings: LoadSettings, random: Random): Double =
        -ln(1 - random.nextDouble()) / settings.requestsPerSecond * NANOSECONDS_IN_SECOND

    private fun request(settings: LoadSettings, number: Int, atNanos: Long, random: Random): ScheduledRequest {
        val workspace = pickByShare(settings.workspaces, random) { it.share }
        val shape = pickByShare(settings.requests, random) { it.share }
        val isMeasured = atNanos >= settings.warmUpSeconds * NANOSECONDS_IN_SECOND
        return ScheduledRequest(number, atNanos, isMeasured, workspace, shape, prompt(workspace, shape, random))
    }

    private fun prompt(workspace: WorkspaceLoad, shape: RequestShape, random: Random): String {
        val shared = List(shape.sharedWords) { "${workspace.name}-${shape.kind}-$it" }
        val own = List(shape.ownWords) { "word${random.nextInt(VOCABULARY_WORDS)}" }
        return (shared + own).joinToString(" ")
    }

    private fun <T> pickByShare(choices: List<T>, random: Random, share: (T) -> Double): T {
        var remainingShare = random.nextDouble() * choices.sumOf(share)
        return choices.firstOrNull {
            remainingShare -= share(it)
            remainingShare < 0
        } ?: choices.last()
    }
}
