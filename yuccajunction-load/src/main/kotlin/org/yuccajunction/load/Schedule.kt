package org.yuccajunction.load

import kotlin.math.ln
import kotlin.random.Random

private const val NANOSECONDS_IN_SECOND = 1e9
private const val DIFFERENT_WORDS = 50_000

/** Makes the schedule of a load, which its settings and a seed determine. */
public object Schedule {
    /** Returns every request in order; the times between them are exponentially distributed. */
    public fun of(settings: LoadSettings, seed: Long): List<ScheduledRequest> {
        val random = Random(seed)
        val end = (settings.warmUpSeconds + settings.seconds) * NANOSECONDS_IN_SECOND
        val requests = mutableListOf<ScheduledRequest>()
        var at = pause(settings, random)
        while (at < end) {
            requests += request(settings, requests.size, at.toLong(), random)
            at += pause(settings, random)
        }
        return requests
    }

    private fun pause(settings: LoadSettings, random: Random): Double =
        -ln(1 - random.nextDouble()) / settings.requestsPerSecond * NANOSECONDS_IN_SECOND

    private fun request(settings: LoadSettings, number: Int, atNanos: Long, random: Random): ScheduledRequest {
        val workspace = pick(settings.workspaces, random) { it.share }
        val shape = pick(settings.requests, random) { it.share }
        val counted = atNanos >= settings.warmUpSeconds * NANOSECONDS_IN_SECOND
        return ScheduledRequest(number, atNanos, counted, workspace, shape, prompt(workspace, shape, random))
    }

    private fun prompt(workspace: WorkspaceLoad, shape: RequestShape, random: Random): String {
        val shared = List(shape.sharedWords) { "${workspace.name}-${shape.kind}-$it" }
        val own = List(shape.ownWords) { "word${random.nextInt(DIFFERENT_WORDS)}" }
        return (shared + own).joinToString(" ")
    }

    private fun <T> pick(choices: List<T>, random: Random, share: (T) -> Double): T {
        var left = random.nextDouble() * choices.sumOf(share)
        return choices.firstOrNull {
            left -= share(it)
            left < 0
        } ?: choices.last()
    }
}
