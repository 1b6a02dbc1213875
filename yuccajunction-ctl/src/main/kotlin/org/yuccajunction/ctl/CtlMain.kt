@file:JvmName("CtlMain")

package org.yuccajunction.ctl

import kotlin.system.exitProcess

/** Runs one command of `yuccajunctionctl` and exits with its [ExitCode]. */
public fun main(arguments: Array<String>) {
    val terminal = System.console() != null && System.getenv("NO_COLOR") == null
    val console = Console(::print, System.err::print, terminal)
    val code = CommandLine(System.getenv(), console).run(arguments)
    exitProcess(code.code)
}
