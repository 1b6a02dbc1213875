package org.yuccajunction.ctl

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.yuccajunction.model.Finding
import java.util.UUID

/**
 * What every command works with.
 *
 * @property isJson whether results are written as JSON for programs
 */
internal class CtlSession(val client: OperatorClient, val console: Console, val isJson: Boolean) {
    /** Writes [value] as JSON, or as the text that [text] makes of it. */
    fun <T> printResult(serializer: KSerializer<T>, value: T, text: (T) -> String) {
        console.print(if (isJson) format.encodeToString(serializer, value) else text(value))
    }

    /** Returns what [use] makes of the answer in [reply], or tells why there is none. */
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

    /** Tells every finding in [findings]. */
    fun printFindings(findings: List<Finding>) {
        findings.forEach { console.error(it.toString()) }
    }

    /** Returns an identity for one change. */
    fun newWriteId(): String = UUID.randomUUID().toString()

    private companion object {
        const val SERVICE_UNAVAILABLE = 503
        val format = Json {
            prettyPrint = true
            encodeDefaults = true
        }
    }
}
