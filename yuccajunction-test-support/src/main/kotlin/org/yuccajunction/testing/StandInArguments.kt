package org.yuccajunction.testing

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default

private const val DEFAULT_LIFETIME_SECONDS = 900

/**
 * The command line that every stand-in takes.
 *
 * @property port the port to listen on, 0 for any free one
 * @property lifetimeSeconds after which the process ends itself
 * @property settings the stand-in's own settings as JSON text
 */
public data class StandInArguments(
    public val port: Int,
    public val lifetimeSeconds: Int,
    public val settings: String,
) {
    public companion object {
        /** Reads the command line [arguments] of the program [name]. */
        public fun parse(name: String, arguments: Array<String>): StandInArguments {
            val parser = ArgParser(name)
            val port by parser.option(ArgType.Int, "port", description = "Port, 0 for any").default(0)
            val lifetime by parser.option(ArgType.Int, "lifetime-seconds", description = "Longest run")
                .default(DEFAULT_LIFETIME_SECONDS)
            val settings by parser.option(ArgType.String, "settings", description = "JSON").default("{}")
            parser.parse(arguments)
            return StandInArguments(port, lifetime, settings)
        }
    }
}
