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

/** Runs one load against entries, or against backend servers themselves, and writes its report. */
public fun main(arguments: Array<String>) {
    val parser = ArgParser("yuccajunction-load")
    val settingsFile by parser.option(ArgType.String, "settings", description = "YAML file").required()
    val targets by parser.option(ArgType.String, "targets", description = "host:port, by commas").required()
    val direct by parser.option(ArgType.Boolean, "direct", description = "Targets are servers").default(false)
    val seed by parser.option(ArgType.Int, "seed", description = "Seed of the schedule").default(1)
    val output by parser.option(ArgType.String, "output", description = "Directory").default("load-report")
    parser.parse(arguments)

    val endpoints = targets.split(',').map { requireNotNull(Endpoint.parse(it)) { "not host:port: $it" } }
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
