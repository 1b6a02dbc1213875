package org.yuccajunction.integration.measure

import org.yuccajunction.document.VersionMove
import org.yuccajunction.integration.ModelEngineHandle
import org.yuccajunction.integration.ModelPlan
import org.yuccajunction.integration.RunningDeployment
import org.yuccajunction.integration.deployment
import org.yuccajunction.load.LoadResult
import org.yuccajunction.load.LoadSettings
import org.yuccajunction.load.Outcome
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.testing.engine.ModelEngineFaults
import kotlin.concurrent.thread

/** Measures loads during which one event changes the deployment. */
class Experiments(
    private val measurement: Measurement,
    private val seeds: List<Long>,
    private val nile: LoadSettings,
) {
    private val settings = nile.copy(requestsPerSecond = 20.0, seconds = 24, warmUpSeconds = 3)

    /** Kills a backend server without notice. */
    fun serverKill() = run("server-kill") { running ->
        Thread.sleep(8_000)
        running.models.first().process.kill()
    }

    /** Takes an availability zone out and returns it after 8 seconds. */
    fun availabilityZone() = run("zone") { running ->
        val availabilityZone = running.plan.availabilityZoneNames.first()
        Thread.sleep(8_000)
        running.takeOut(availabilityZone, isOut = true)
        Thread.sleep(8_000)
        running.takeOut(availabilityZone, isOut = false)
    }

    /** Sends SIGTERM to an entry and starts another one. */
    fun entryReplaced() = run("entry-replaced") { running ->
        Thread.sleep(8_000)
        val former = running.entries.last()
        former.process.terminate()
        running.addEntry()
    }

    /** Moves the model to another version; a version that is not good fails half of the requests. */
    fun move(isGood: Boolean) = run(if (isGood) "move-good" else "move-bad") { running ->
        val plan = ModelPlan("talker-llm").apply {
            version = "v2"
            settings = running.plan.models.first().settings
        }
        repeat(3) { running.addModel(plan) }
        if (!isGood) {
            running.models.filter { it.instance.version?.value == "v2" }
                .forEach { it.setFaults(ModelEngineFaults(failShare = 0.5)) }
        }
        Thread.sleep(4_000)
        val move = VersionMove(
            name = "talker-v2",
            service = ServiceName("talker-llm"),
            from = ServiceVersion("v1"),
            to = ServiceVersion("v2"),
            completeWithinSeconds = 60,
        )
        running.change { it.copy(versions = listOf(move)) }
    }

    private fun run(name: String, event: (RunningDeployment) -> Unit) {
        seeds.forEach { seed ->
            val plan =
                MeasurementPlan(settings, 3, models = 4, applications = 2, listOf("cairo-a", "cairo-b", "cairo-c"))
            deployment { plan.applyTo(this) }.use { running ->
                val happening = thread { event(running) }
                val result = measurement.runLoadThroughCallers(running, settings.copy(name = name), seed)
                happening.join()
                report(running, result)
            }
        }
    }

    private fun report(running: RunningDeployment, result: LoadResult) {
        val recomputed = running.entries.filter { it.process.isAlive }
            .sumOf { it.metric("yuccajunction_tokens_recomputed_total") }
        val endings = Outcome.entries.associateWith { result.count(it) }
        println("${result.name}: within target ${result.withinTargetShare()}, recomputed $recomputed, $endings")
        running.models.forEach { model ->
            println("  ${model.id} in ${model.availabilityZone}: ${receivedIfAlive(model.process.isAlive, model)}")
        }
        println("  moves: ${running.entries.first().stateOrNull()?.moves}")
    }

    private fun receivedIfAlive(isAlive: Boolean, model: ModelEngineHandle): String =
        if (isAlive) "${model.ledger().rows.size} requests" else "dead"

    private fun RunningDeployment.takeOut(availabilityZone: String, isOut: Boolean) {
        change { deployment ->
            val zones = deployment.availabilityZones.map {
                if (it.name.value == availabilityZone) it.copy(takenOut = isOut) else it
            }
            deployment.copy(availabilityZones = zones)
        }
    }
}
