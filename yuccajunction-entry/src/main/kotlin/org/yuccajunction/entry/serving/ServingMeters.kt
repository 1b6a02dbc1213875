package org.yuccajunction.entry.serving

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.WorkspaceId
import org.yuccajunction.routing.AttemptResult
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** The metrics of serving callers. Workspaces that the configuration does not name share one label. */
internal class ServingMeters(private val registry: MeterRegistry) {
    fun firstToken(workspace: WorkspaceId, requestClass: RequestClass, time: Duration) =
        record("yuccajunction.request.first.token", workspace, requestClass, time)

    fun betweenTokens(workspace: WorkspaceId, requestClass: RequestClass, time: Duration) =
        record("yuccajunction.request.between.tokens", workspace, requestClass, time)

    fun whole(workspace: WorkspaceId, requestClass: RequestClass, time: Duration) =
        record("yuccajunction.request.whole", workspace, requestClass, time)

    fun refused(code: String) = count("yuccajunction.requests.refused", "reason", code)

    fun ended(outcome: String) = count("yuccajunction.requests.ended", "outcome", outcome)

    fun retried(cause: AttemptResult) = count("yuccajunction.requests.retried", "cause", cause.name.lowercase())

    fun resumed(source: String) = count("yuccajunction.streams.resumed", "source", source)

    fun recomputed(tokens: Int) =
        Counter.builder("yuccajunction.tokens.recomputed").register(registry).increment(tokens.toDouble())

    private fun record(name: String, workspace: WorkspaceId, requestClass: RequestClass, time: Duration) {
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
