package org.yuccajunction.ctl

/**
 * Writes results to [output], progress and errors to [errors].
 *
 * @property isTerminal whether [errors] is a terminal with support for colours and for overwriting a line
 */
public class Console(
    private val output: (String) -> Unit,
    private val errors: (String) -> Unit,
    private val isTerminal: Boolean,
) {
    private var shownProgress = ""

    /** Writes a result and a line break. */
    public fun print(text: String) {
        output(text.trimEnd('\n') + "\n")
    }

    /** Writes an error, in red on a terminal. */
    public fun error(text: String) {
        endProgress()
        errors(colour(RED, text.trimEnd('\n')) + "\n")
    }

    /** Shows the progress of a wait: overwrites the line on a terminal, else writes a line for each change. */
    public fun progress(text: String) {
        if (text == shownProgress) return
        errors(if (isTerminal) CLEAR_LINE + text else text + "\n")
        shownProgress = text
    }

    /** Ends the line of [progress] on a terminal. */
    public fun endProgress() {
        if (isTerminal && shownProgress.isNotEmpty()) errors("\n")
        shownProgress = ""
    }

    private fun colour(code: String, text: String) = if (isTerminal) code + text + RESET else text

    private companion object {
        const val CLEAR_LINE = "\r\u001b[2K"
        const val RED = "\u001b[31m"
        const val RESET = "\u001b[0m"
    }
}
