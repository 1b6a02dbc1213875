package org.yuccajunction.ctl

import org.yuccajunction.operator.InstanceReport
import org.yuccajunction.operator.RoutingExplanation
import org.yuccajunction.operator.StatusReport
import org.yuccajunction.rollout.MoveStatus

/** Formats reports as text. */
internal object StatusText {
    private const val PERCENT = 100

    /** Returns the state of entries, moves and vetoes as text. */
    fun status(report: StatusReport): String {
        val entries = report.entries.map { entry ->
            val notes = listOfNotNull("leaving".takeIf { entry.leaving }, "suspected".takeIf { entry.suspected })
            listOf(
                "${entry.entry}",
                "${entry.availabilityZone}",
                "${entry.revision}",
                notes.joinToString().ifEmpty { "live" },
            )
        }
        val store = if (report.storeAvailable) "answers" else "can't be had; the last configuration stays in force"
        val parts = listOf(
            "revision ${report.revision}, the object API $store",
            TextTable.of(listOf("ENTRY", "ZONE", "REVISION", "STATE"), entries),
        )
        val moves = report.moves.map(::move)
        val vetoes = report.vetoes.map {
            "veto: ${it.service} ${it.version} ${it.route ?: "every route"}: ${it.reason}"
        }
        return (parts + moves + vetoes).joinToString("\n")
    }

    /** Returns one move in one line. */
    fun move(status: MoveStatus): String =
        buildString {
            append("move ${status.move}: ${status.phase.name.lowercase().replace('_', ' ')}")
            append(", share ${(status.share * PERCENT).toInt()} %, after ${status.elapsedSeconds} s")
            if (status.detail.isNotEmpty()) append(": ${status.detail}")
        }

    /** Returns a table of the state of every instance, with a column for each entry that reported. */
    fun instances(reports: List<InstanceReport>): String {
        val ids = reports.flatMap { report -> report.instances.map { it.instance.id.value } }.distinct().sorted()
        val rows = ids.map { id ->
            val known = reports.map { report -> report.instances.find { it.instance.id.value == id } }
            val instance = known.firstNotNullOf { it }.instance
            val service = "${instance.service ?: ""} ${instance.version ?: ""}".trim().ifEmpty { "entry" }
            listOf(id, service, "${instance.availabilityZone}") + known.map(::stateText)
        }
        val header = listOf("INSTANCE", "SERVICE", "ZONE") + reports.map { "${it.entry.instance}" }
        return TextTable.of(header, rows)
    }

    /** Returns the routing decision for a request, with its candidates, as text. */
    fun explanation(report: RoutingExplanation): String {
        val rows = report.candidates.map {
            listOf(
                "${it.id}",
                "${it.availabilityZone}",
                "${it.version}",
                it.state.name.lowercase(),
                "${it.openRequests}/${it.permits}",
                "${it.limit}",
                it.reportAgeMillis?.let { age -> "$age ms" } ?: "none",
            )
        }
        val header = listOf("SERVER", "ZONE", "VERSION", "STATE", "OPEN/PERMITS", "LIMIT", "REPORT AGE")
        val shares = report.shares.entries.joinToString { (version, share) -> "$version $share" }.ifEmpty { "none" }
        return "${report.entry} at revision ${report.revision}: the request ${report.detail}\n" +
            "shares by version: $shares\n" + TextTable.of(header, rows)
    }

    private fun stateText(known: InstanceReport.BelievedInstance?): String =
        when {
            known == null -> "unknown"
            known.instance.leaving -> "leaving"
            else -> known.state?.name?.lowercase() ?: "listed"
        }
}
