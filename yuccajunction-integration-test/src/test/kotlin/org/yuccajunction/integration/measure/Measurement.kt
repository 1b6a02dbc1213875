package org.yuccajunction.integration.measure

import kotlinx.coroutines.runBlocking
import org.HdrHistogram.Histogram
import org.yuccajunction.integration.RunningDeployment
import org.yuccajunction.integration.deployment
import org.yuccajunction.load.CallerTarget
import org.yuccajunction.load.HttpTarget
import org.yuccajunction.load.LoadResult
import org.yuccajunction.load.LoadRunner
import org.yuccajunction.load.LoadSettings
import org.yuccajunction.load.TextReport
import org.yuccajunction.testing.engine.ModelEngineSettings
import java.util.Locale

/** Runs the measurements, each on a separate deployment. */
class Measurement(private val seeds: List<Long>, private val nile: LoadSettings) {
    private val availabilityZones = listOf("cairo-a", "cairo-b", "cairo-c", "cairo-d")
    val results = mutableListOf<LoadResult>()

    /** Measures the latency that one entry adds, as the difference to direct calls of the same engine. */
    fun addedLatency() {
        val streams = nile.copy(
            name = "added-latency",
            requestsPerSecond = 10.0,
            seconds = 10,
            warmUpSeconds = 4,
            requests = nile.requests.filter { it.isStream },
        )
        val plan =
            MeasurementPlan(streams, entries = 1, models = 1, applications = 0, availabilityZones, requestLimit = 64)
        deployment { plan.applyTo(this) }.use { running ->
            val pairs = seeds.map { seed ->
                val direct = runLoad(running, streams.copy(name = "direct"), seed, direct = true)
                direct to runLoad(running, streams.copy(name = "one entry"), seed, direct = false)
            }
            printRow(
                "added to the first token, p50",
                pairs.map { millis(it) { r -> r.sumHistograms { s -> s.firstToken } } },
            )
            printRow(
                "added between tokens, p50",
                pairs.map {
                    millis(it) { r -> r.sumHistograms { s -> s.betweenTokens } }
                },
            )
            printRow(
                "added to the first token, p95",
                pairs.map { millis(it, 95.0) { r -> r.sumHistograms { s -> s.firstToken } } },
            )
            measureIdle(running)
        }
    }

    /** Measures requests and tokens per second through one entry, and the processor time of the entry. */
    fun throughput(requestsPerSecond: Double) {
        val calls = nile.copy(
            name = "throughput",
            requestsPerSecond = requestsPerSecond,
            seconds = 10,
            warmUpSeconds = 5,
        )
        val engine = ModelEngineSettings(
            firstTokenMillis = 5.0,
            tokenMillis = 2.0,
            slowDownPerRequest = 0.0,
        )
        val plan = MeasurementPlan(calls, entries = 1, models = 4, applications = 1, availabilityZones, 256, engine)
        deployment { plan.applyTo(this) }.use { running ->
            seeds.take(1).forEach { seed ->
                val pid = running.entries.first().process.pid
                val before = ProcessUsage.of(pid)
                val result =
                    runLoad(running, calls.copy(name = "throughput $requestsPerSecond/s"), seed, direct = false)
                val seconds = calls.seconds + calls.warmUpSeconds
                val cores = (ProcessUsage.of(pid).processorSeconds - before.processorSeconds) / seconds
                println(
                    "requests/s ${format(
                        result.total.toDouble() / result.seconds,
                    )}, tokens/s ${format(result.tokensPerSecond)}",
                )
                println("entry cores used ${format(cores)}; within target ${format(result.withinTargetShare())}")
            }
        }
    }

    /** Measures a deployment of the given size when idle, with the bytes that entries exchange, and under load. */
    fun wholeDeployment(settings: LoadSettings, entries: Int, models: Int, applications: Int) {
        val plan = MeasurementPlan(settings, entries, models, applications, availabilityZones)
        deployment { plan.applyTo(this) }.use { running ->
            measureIdle(running)
            seeds.forEach { runLoad(running, settings, it, direct = false) }
            val recomputed = running.entries.sumOf { it.metric("yuccajunction_tokens_recomputed_total") }
            println("${settings.name}: tokens recomputed $recomputed")
        }
    }

    private fun measureIdle(running: RunningDeployment) {
        val seconds = 10
        val before = running.entries.map { it to sample(it.process.pid, it.metric(SENT), it.metric(RECEIVED)) }
        val storeBefore = running.platform.callCounts().values.sum()
        Thread.sleep(seconds * 1_000L)
        val rows = before.map { (entry, old) ->
            val now = sample(entry.process.pid, entry.metric(SENT), entry.metric(RECEIVED))
            listOf(
                (now.usage.processorSeconds - old.usage.processorSeconds) / seconds,
                now.usage.residentMebibytes,
                (now.sent - old.sent) / seconds,
                (now.received - old.received) / seconds,
            )
        }
        val store = (running.platform.callCounts().values.sum() - storeBefore).toDouble() / seconds
        printRow("idle: processor seconds a second of one entry", rows.map { it[0] })
        printRow("idle: resident MiB of one entry", rows.map { it[1] })
        printRow("idle: bytes a second sent to entries by one entry", rows.map { it[2] })
        printRow("idle: bytes a second received from entries by one entry", rows.map { it[3] })
        println("idle: platform calls a second, all ${rows.size} entries: ${format(store)}")
    }

    private data class Sample(val usage: ProcessUsage, val sent: Double, val received: Double)

    private fun sample(pid: Long, sent: Double, received: Double) = Sample(ProcessUsage.of(pid), sent, received)

    /** Sends one load to the entries, or to the model engines if [direct] is true, and returns the result. */
    fun runLoad(running: RunningDeployment, settings: LoadSettings, seed: Long, direct: Boolean): LoadResult {
        val endpoints = if (direct) running.models.map { it.direct } else running.entries.map { it.caller }
        val result = HttpTarget(endpoints, direct).use { target ->
            runBlocking { LoadRunner(target).run(settings.name, settings, seed) }
        }
        results += result
        println(TextReport.text(result))
        return result
    }

    /** Sends one load through the caller library, which resumes streams and updates the entry addresses. */
    fun runLoadThroughCallers(running: RunningDeployment, settings: LoadSettings, seed: Long): LoadResult {
        val result = CallerTarget(settings.workspaces, running.entries.map { it.caller }).use { target ->
            runBlocking { LoadRunner(target).run(settings.name, settings, seed) }
        }
        results += result
        println(TextReport.text(result))
        return result
    }

    private fun millis(
        pair: Pair<LoadResult, LoadResult>,
        percentile: Double = 50.0,
        histogram: (LoadResult) -> Histogram,
    ): Double {
        val (direct, entry) = pair
        val difference =
            histogram(entry).getValueAtPercentile(percentile) - histogram(direct).getValueAtPercentile(percentile)
        return difference / 1_000.0
    }

    private fun printRow(name: String, values: List<Double>) {
        val sorted = values.sorted()
        val spread = "${format(sorted.first())} to ${format(sorted.last())}"
        println("$name: median ${format(sorted[sorted.size / 2])}, $spread, ${values.size} values")
    }

    private fun format(value: Double): String = String.format(Locale.ROOT, "%.3f", value)

    private companion object {
        const val SENT = "yuccajunction_peer_sent_bytes_total"
        const val RECEIVED = "yuccajunction_peer_received_bytes_total"
    }
}
