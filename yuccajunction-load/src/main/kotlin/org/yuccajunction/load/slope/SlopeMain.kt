@file:JvmName("SlopeMain")

package org.yuccajunction.load.slope

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default

private const val DEFAULT_REPEATS = 300

/** Prints the cost of control for an entry in fleets of increasing size, as comma-separated values. */
public fun main(arguments: Array<String>) {
    val parser = ArgParser("yuccajunction-slopes")
    val repeats by parser.option(ArgType.Int, "repeats", description = "Steps measured").default(DEFAULT_REPEATS)
    val seed by parser.option(ArgType.Int, "seed", description = "Seed of all random choices").default(1)
    parser.parse(arguments)

    val measurement = ControlCostMeasurement(repeats, seed)
    measurement.measure(FLEET_SIZES.first())
    println(ControlCost.CSV_HEADER)
    FLEET_SIZES.flatMap(measurement::measure).forEach { println(it.toCsv()) }
}

private val FLEET_SIZES =
    listOf(
        FleetSize(entries = 8, servers = 12, services = 2),
        FleetSize(entries = 32, servers = 400, services = 10),
        FleetSize(entries = 100, servers = 2_000, services = 20),
        FleetSize(entries = 205, servers = 6_000, services = 40),
        FleetSize(entries = 410, servers = 12_000, services = 40),
    )
