package org.yuccajunction.entry.serving

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.WorkspaceId
import org.yuccajunction.routing.AttemptResult
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Records the metrics of requests of callers. */
internal class ServingMeters(private val registry: MeterRegistry) {
    fun recordFirstToken(workspace: WorkspaceId, requestClass: RequestClass, time: Duration) =
        recordTime("yuccajunction.request.first.token", workspace, requestClass, time)

    fun recordBetweenTokens(workspace: WorkspaceId, requestClass: RequestClass, time: Duration) =
        recordTime("yuccajunction.request.between.tokens", workspace, requestClass, time)

    fun recordWholeRequest(workspace: WorkspaceId, requestClass: RequestClass, time: Duration) =
        recordTime("yuccajunction.request.whole", workspace, requestClass, time)

    fun countRefused(code: String) = count("yuccajunction.requests.refused", "reason", code)

    fun countEnded(outcome: String) = count("yuccajunction.requests.ended", "outcome", outcome)

    fun countRetried(cause: AttemptResult) = count("yuccajunction.requests.retried", "cause", cause.name.lowercase())

    fun countResumed(source: String) = count("yuccajunction.streams.resumed", "source", source)

    fun countRecomputedTokens(tokens: Int) =
        Counter.builder("yuccajunction.tokens.recomputed").register(registry).increment(tokens.toDouble())

    private fun recordTime(name: String, workspace: WorkspaceId, requestClass: RequestClass, time: Duration) {
        Timer.builder(name)
            .tag("workspace", workspace.value)
            .tag("class", requestClass.name.lowercase())
            .publishPercentileHistogram()
            .register(registry)
            .record(time.inWholeNanoseconds, TimeUnit.NANOSECONDS)
    }

    private fun count(name: String, key: String, value: String) =
        Counter.builder(name).tag(key, value).register(registry).increment()
}
