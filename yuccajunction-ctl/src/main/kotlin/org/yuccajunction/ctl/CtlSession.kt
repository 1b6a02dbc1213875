package org.yuccajunction.ctl

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.yuccajunction.model.Finding
import java.util.UUID

/**
 * Client, console and output format that a command uses.
 *
 * @property isJson whether results are printed as JSON
 */
internal class CtlSession(val client: OperatorClient, val console: Console, val isJson: Boolean) {
    /** Prints [value], as JSON or converted by [text]. */
    fun <T> printResult(serializer: KSerializer<T>, value: T, text: (T) -> String) {
        console.print(if (isJson) format.encodeToString(serializer, value) else text(value))
    }

    /** Returns the result of [use] for an answer; for any other reply, prints the error and returns its exit code. */
    inline fun <T> onAnswer(reply: Reply<T>, use: (T) -> ExitCode): ExitCode =
        when (reply) {
            is Reply.Answer -> use(reply.value)
            is Reply.Refused -> refused(reply)
            is Reply.Unreachable -> unreachable(reply)
        }

    fun refused(reply: Reply.Refused): ExitCode {
        console.error("refused (${reply.status}): ${reply.detail}")
        return if (reply.status == SERVICE_UNAVAILABLE) ExitCode.UNAVAILABLE else ExitCode.REFUSED
    }

    fun unreachable(reply: Reply.Unreachable): ExitCode {
        console.error(reply.detail)
        return ExitCode.UNAVAILABLE
    }

    /** Prints [findings] as errors, one a line. */
    fun printFindings(findings: List<Finding>) {
        findings.forEach { console.error(it.toString()) }
    }

    /** Returns a new id for one change, under which a retried change is applied once. */
    fun newWriteId(): String = UUID.randomUUID().toString()

    private companion object {
        const val SERVICE_UNAVAILABLE = 503
        val format = Json {
            prettyPrint = true
            encodeDefaults = true
        }
    }
}
