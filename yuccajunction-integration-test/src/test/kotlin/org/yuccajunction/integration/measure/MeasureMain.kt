@file:JvmName("MeasureMain")

package org.yuccajunction.integration.measure

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.yuccajunction.load.LoadSettings
import org.yuccajunction.load.PlotReport
import org.yuccajunction.load.TextReport
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText

/** Runs the named measurements, each with separate processes; `bin/measure` starts this program. */
fun main(arguments: Array<String>) {
    val parser = ArgParser("measure")
    val names by parser.option(ArgType.String, "names", description = "Measurements, separated by commas")
        .default("added-latency,throughput,nile,magnolia")
    val seedText by parser.option(ArgType.String, "seeds", description = "Seeds, separated by commas").default("1,2,3")
    val rate by parser.option(ArgType.Double, "rate", description = "Requests per second for throughput").default(100.0)
    val output by parser.option(ArgType.String, "output", description = "Result directory")
        .default("target/measurements")
    parser.parse(arguments)

    val seeds = seedText.split(',').map { it.trim().toLong() }
    val nile = LoadSettings.read(Path.of("yuccajunction-load/settings/nile.yaml"))
    val magnolia = LoadSettings.read(Path.of("yuccajunction-load/settings/magnolia.yaml"))
    val measurement = Measurement(seeds, nile)
    val experiments = Experiments(measurement, seeds, nile)
    names.split(',').forEach { name ->
        println("== $name")
        when (name.trim()) {
            "added-latency" -> measurement.addedLatency()
            "throughput" -> measurement.throughput(rate)
            "nile" -> measurement.wholeDeployment(nile, entries = 8, models = 8, applications = 4)
            "magnolia" -> measurement.wholeDeployment(magnolia, entries = 8, models = 8, applications = 4)
            "server-kill" -> experiments.serverKill()
            "zone" -> experiments.availabilityZone()
            "move-good" -> experiments.move(isGood = true)
            "move-bad" -> experiments.move(isGood = false)
            "entry-replaced" -> experiments.entryReplaced()
            else -> error("unknown measurement \"$name\"")
        }
    }
    val directory = Path.of(output).createDirectories()
    directory.resolve("results.csv").writeText(TextReport.csv(measurement.results))
    val curves = measurement.results.associate {
        "${it.name}, seed ${it.seed}" to it.sumHistograms { series -> series.firstToken }
    }
    directory.resolve("first-token.svg").writeText(PlotReport.svg("First token", curves))
}
