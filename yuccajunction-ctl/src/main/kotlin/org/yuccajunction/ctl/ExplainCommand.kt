package org.yuccajunction.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.multiple
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId
import org.yuccajunction.operator.ExplainMessage
import org.yuccajunction.operator.ForwardExplainMessage

/**
 * Writes where a request would go, and why; the request is not sent.
 *
 * With `--host`, the request is one that entries forward, and `--entries` names their metrics addresses.
 */
@OptIn(ExperimentalCli::class)
internal class ExplainCommand : CtlCommand("explain", "Write where a request would go, and why") {
    private val service by option(ArgType.String, "service", null, "Name of the service, without --host")
    private val workspace by option(ArgType.String, "workspace", null, "Name of the workspace, never its key")
    private val requestClass by option(ArgType.Choice<RequestClass>(), "class", null, "Class of the request")
        .default(RequestClass.ORDER)
    private val route by option(ArgType.String, "route", null, "Route of the request").default("/")
    private val tokens by option(ArgType.Int, "prompt-tokens", null, "Length of the prompt, in tokens")
    private val host by option(ArgType.String, "host", null, "Host of a request that entries forward")
    private val path by option(ArgType.String, "path", null, "Path of a request that entries forward").default("/")
    private val method by option(ArgType.String, "method", null, "HTTP method of that request").default("POST")
    private val parts by option(ArgType.String, "prompt-part", null, "Prompt part as identity:tokens, in order")
        .multiple()
    private val answerTokens by option(ArgType.Int, "answer-tokens", null, "Most tokens to generate").default(0)

    override val needsToken: Boolean get() = host == null

    override suspend fun run(session: CtlSession): ExitCode {
        val forwardHost = host
        return when {
            forwardHost != null -> ForwardExplainCall(session).explain(forwardMessage(forwardHost))
            else -> explainOwn(session)
        }
    }

    private fun forwardMessage(host: String) =
        ForwardExplainMessage(host, path, method, workspace, parts, tokens, answerTokens)

    private suspend fun explainOwn(session: CtlSession): ExitCode {
        val serviceName = service ?: return usage(session, "name the service with --service, or a host with --host")
        val workspaceName = workspace ?: return usage(session, "name the workspace with --workspace")
        val message =
            ExplainMessage(ServiceName(serviceName), WorkspaceId(workspaceName), requestClass, route, tokens ?: 0)
        return StatusCommands(session).explain(message)
    }

    private fun usage(session: CtlSession, detail: String): ExitCode {
        session.console.error(detail)
        return ExitCode.USAGE
    }
}
