package org.yuccajunction.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.required
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId
import org.yuccajunction.operator.ExplainMessage
import org.yuccajunction.operator.SwitchTarget

/** The commands of the command line. */
internal object CtlCommands {
    /** Returns a new instance of every command. */
    fun all(): List<CtlCommand> =
        listOf(
            GetCommand(),
            ValidateCommand(),
            DiffCommand(),
            ApplyCommand(),
            HistoryCommand(),
            StatusCommand(),
            ZoneCommand(),
            DrainCommand(),
            InstancesCommand(),
            ExplainCommand(),
        )
}

private class GetCommand : CtlCommand("get", "Write the document or one section") {
    private val section by sectionOption()
    private val revision by option(ArgType.Int, "revision", "r", "An earlier revision")

    override suspend fun run(session: CtlSession) = DocumentCommands(session).get(section, revision?.toLong())
}

private class ValidateCommand : CtlCommand("validate", "Tell every finding of a file") {
    private val file by argument(ArgType.String, "file", "The document, or one section with --section")
    private val section by sectionOption()
    private val offline by option(ArgType.Boolean, "offline", null, "Ask no entry; the file stands alone")
        .default(false)

    override val isOffline: Boolean get() = offline

    override suspend fun run(session: CtlSession) = DocumentCommands(session).validate(file, section, offline)
}

private class DiffCommand : CtlCommand("diff", "Compare a file with what is in force; ends with 1 where they differ") {
    private val file by argument(ArgType.String, "file", "The document, or one section with --section")
    private val section by sectionOption()

    override suspend fun run(session: CtlSession) = DocumentCommands(session).diff(file, section)
}

private class ApplyCommand : CtlCommand("apply", "Change the sections that a file holds") {
    private val file by argument(ArgType.String, "file", "The document, or one section with --section")
    private val section by sectionOption()
    private val readAt by option(
        ArgType.Int,
        "read-at",
        "r",
        "Revision at which the sections were read; the file's first line says it otherwise",
    )
    private val wait by waitOption()
    private val timeout by timeoutOption()

    override suspend fun run(session: CtlSession) =
        ChangeCommands(session).apply(file, section, readAt?.toLong(), waitLimit(wait, timeout))
}

private class HistoryCommand : CtlCommand("history", "Write the newest accepted changes") {
    override suspend fun run(session: CtlSession) = DocumentCommands(session).history()
}

private class StatusCommand : CtlCommand("status", "Write the state of entries and moves") {
    private val move by option(ArgType.String, "move", "m", "With --wait: until this move is done or taken back")
    private val revision by option(ArgType.Int, "revision", "r", "With --wait: until this revision is in force")
    private val wait by waitOption()
    private val timeout by timeoutOption()

    override suspend fun run(session: CtlSession) =
        StatusCommands(session).status(move, revision?.toLong(), waitLimit(wait, timeout))
}

private class ZoneCommand : CtlCommand("zone", "Take an availability zone out or return it") {
    private val action by argument(ArgType.Choice(listOf(TAKE_OUT, RETURN), { it }), "action", "What to do")
    private val zone by argument(ArgType.String, "zone", "Name of the availability zone")
    private val wait by waitOption()
    private val timeout by timeoutOption()

    override suspend fun run(session: CtlSession) =
        ChangeCommands(session)
            .switch(SwitchTarget.AVAILABILITY_ZONE, zone, action == TAKE_OUT, waitLimit(wait, timeout))
}

private class DrainCommand : CtlCommand("drain", "Drain an entry or a backend server, or end its drain") {
    private val target by argument(ArgType.Choice(targets.keys.toList(), { it }), "kind", "What to drain")
    private val instance by argument(ArgType.String, "instance", "Identity of the instance")
    private val end by option(ArgType.Boolean, "return", null, "End the drain").default(false)
    private val wait by waitOption()
    private val timeout by timeoutOption()

    override suspend fun run(session: CtlSession) =
        ChangeCommands(session).switch(targets.getValue(target), instance, !end, waitLimit(wait, timeout))

    private companion object {
        val targets = mapOf("entry" to SwitchTarget.ENTRY, "backend-server" to SwitchTarget.BACKEND_SERVER)
    }
}

private class InstancesCommand : CtlCommand("instances", "Write what each given entry believes of every instance") {
    override suspend fun run(session: CtlSession) = StatusCommands(session).instances()
}

@OptIn(ExperimentalCli::class)
private class ExplainCommand : CtlCommand("explain", "Write where a request would go, and why") {
    private val service by option(ArgType.String, "service", null, "Name of the service").required()
    private val workspace by option(ArgType.String, "workspace", null, "Name of the workspace").required()
    private val requestClass by option(ArgType.Choice<RequestClass>(), "class", null, "Class of the request")
        .default(RequestClass.ORDER)
    private val route by option(ArgType.String, "route", null, "Route of the request").default("/")
    private val tokens by option(ArgType.Int, "prompt-tokens", null, "Length of the prompt, in tokens").default(0)

    override suspend fun run(session: CtlSession) =
        StatusCommands(session).explain(
            ExplainMessage(ServiceName(service), WorkspaceId(workspace), requestClass, route, tokens),
        )
}

private const val TAKE_OUT = "take-out"
private const val RETURN = "return"
