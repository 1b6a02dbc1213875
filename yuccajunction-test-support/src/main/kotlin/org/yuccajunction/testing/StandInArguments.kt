package org.yuccajunction.testing

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default

private const val DEFAULT_LIFETIME_SECONDS = 900

/**
 * Command-line arguments that all stand-ins share.
 *
 * @property port port to listen on; 0 lets the system choose a free port
 * @property lifetimeSeconds time in seconds after which the process exits
 * @property settings settings of this stand-in as JSON text
 */
public data class StandInArguments(
    public val port: Int,
    public val lifetimeSeconds: Int,
    public val settings: String,
) {
    public companion object {
        /** Parses the command-line [arguments] of the program [name]. */
        public fun parse(name: String, arguments: Array<String>): StandInArguments {
            val parser = ArgParser(name)
            val port by parser.option(ArgType.Int, "port", description = "Port, 0 for any free port").default(0)
            val lifetime by parser.option(ArgType.Int, "lifetime-seconds", description = "Seconds until exit")
                .default(DEFAULT_LIFETIME_SECONDS)
            val settings by parser.option(ArgType.String, "settings", description = "Settings as JSON").default("{}")
            parser.parse(arguments)
            return StandInArguments(port, lifetime, settings)
        }
    }
}
