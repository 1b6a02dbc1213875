package org.yuccajunction.ctl

/**
 * What the command line writes: results to [output], progress and errors to [errors].
 *
 * @property isTerminal whether [errors] is a terminal that shows progress in place and colours
 */
public class Console(
    private val output: (String) -> Unit,
    private val errors: (String) -> Unit,
    private val isTerminal: Boolean,
) {
    private var shownProgress = ""

    /** Writes a result, which ends with a line break. */
    public fun print(text: String) {
        output(text.trimEnd('\n') + "\n")
    }

    /** Writes an error. */
    public fun error(text: String) {
        endProgress()
        errors(colour(RED, text.trimEnd('\n')) + "\n")
    }

    /** Shows how far a wait has come: in place on a terminal, else a line for each change. */
    public fun progress(text: String) {
        if (text == shownProgress) return
        errors(if (isTerminal) CLEAR_LINE + text else text + "\n")
        shownProgress = text
    }

    /** Ends the line that [progress] wrote. */
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
