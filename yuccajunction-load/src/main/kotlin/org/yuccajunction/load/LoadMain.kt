@file:JvmName("LoadMain")

package org.yuccajunction.load

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import org.yuccajunction.model.Endpoint
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText

/** Sends one load to entries, or directly to backend servers, and writes a report. */
public fun main(arguments: Array<String>) {
    val parser = ArgParser("yuccajunction-load")
    val settingsFile by parser.option(ArgType.String, "settings", description = "YAML file of the load").required()
    val targets by parser.option(ArgType.String, "targets", description = "Comma-separated host:port").required()
    val direct by parser.option(ArgType.Boolean, "direct", description = "Targets are backend servers").default(false)
    val seed by parser.option(ArgType.Int, "seed", description = "Seed of the schedule").default(1)
    val output by parser.option(ArgType.String, "output", description = "Report directory").default("load-report")
    parser.parse(arguments)

    val endpoints = targets.split(',').map { requireNotNull(Endpoint.parse(it)) { "target is not host:port: $it" } }
    val settings = LoadSettings.read(Path.of(settingsFile))
    val result = HttpTarget(endpoints, direct).use { target ->
        runBlocking { LoadRunner(target).run(settings.name, settings, seed.toLong()) }
    }
    println(TextReport.text(result))
    val directory = Path.of(output).createDirectories()
    directory.resolve("result.csv").writeText(TextReport.csv(listOf(result)))
    val curves = mapOf(
        "first token" to result.sumHistograms { it.firstToken },
        "whole" to result.sumHistograms { it.whole },
    )
    directory.resolve("result.svg").writeText(PlotReport.svg(settings.name, curves))
}
