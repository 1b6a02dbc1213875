package org.yuccajunction.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import org.yuccajunction.document.SectionName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One command of the command line. Parsing only sets [isChosen]; [run] executes the command. */
@OptIn(ExperimentalCli::class)
internal abstract class CtlCommand(name: String, description: String) : Subcommand(name, description) {
    /** Whether the arguments named this command. */
    var isChosen: Boolean = false
        private set

    /** Whether the command calls no entry. */
    open val isOffline: Boolean get() = false

    override fun execute() {
        isChosen = true
    }

    /** Executes the command. */
    abstract suspend fun run(session: CtlSession): ExitCode

    /** Declares the option for one section. */
    protected fun sectionOption() =
        option(
            ArgType.Choice(SectionName.entries, { key -> SectionName.entries.first { it.key == key } }, { it.key }),
            "section",
            "s",
            "One section only",
        )

    /** Declares the option to wait. */
    protected fun waitOption() =
        option(ArgType.Boolean, "wait", "w", "Wait until every entry reports it, or say which does not").default(false)

    /** Declares the option for the longest wait, in seconds. */
    protected fun timeoutOption() =
        option(ArgType.Int, "timeout", null, "Longest wait, in seconds").default(DEFAULT_WAIT_SECONDS)

    /** Returns the longest wait, or null without `--wait`. */
    protected fun waitLimit(wait: Boolean, timeoutSeconds: Int): Duration? = timeoutSeconds.seconds.takeIf { wait }

    private companion object {
        const val DEFAULT_WAIT_SECONDS = 30
    }
}
