package org.yuccajunction.document

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.Revision

/**
 * Edits single values in the text of a section.
 *
 * Comments and layout are kept when the section is written in YAML block style; otherwise the section is written anew.
 * A left value says why the edit is impossible.
 */
public object SectionEdit {
    /** Takes [zone] out of service or returns it to service, in the text of [SectionName.AVAILABILITY_ZONES]. */
    public fun setZoneTakenOut(text: String, zone: AvailabilityZone, takenOut: Boolean): Either<String, String> {
        val deployment =
            read(SectionName.AVAILABILITY_ZONES, text) ?: return "the section has findings; correct them first".left()
        val zones = deployment.availabilityZones
        if (zones.none { it.name == zone }) return "there is no availability zone $zone".left()
        val wanted = zones.map { if (it.name == zone) it.copy(takenOut = takenOut) else it }
        val edited = YamlTree.parse(SectionName.AVAILABILITY_ZONES.key, text).getOrNull()
            ?.let { editTakenOut(text.lines(), it, zone, takenOut) }
        if (edited != null && read(SectionName.AVAILABILITY_ZONES, edited)?.availabilityZones == wanted) {
            return edited.right()
        }
        return DeploymentWriter.write(Deployment(availabilityZones = wanted), SectionName.AVAILABILITY_ZONES).right()
    }

    /** Drains the entry [id] or ends its draining, in the text of [SectionName.TRAFFIC_RULES]. */
    public fun setEntryDrained(text: String, id: InstanceId, drained: Boolean): Either<String, String> =
        editRules(text, DRAINED_ENTRIES) { rules ->
            rules.copy(drainedEntries = rules.drainedEntries.withMembership(id, drained))
        }

    /** Drains the backend server [id] or ends its draining, in the text of [SectionName.TRAFFIC_RULES]. */
    public fun setBackendServerDrained(text: String, id: BackendServerId, drained: Boolean): Either<String, String> =
        editRules(text, DRAINED_BACKEND_SERVERS) { rules ->
            rules.copy(drainedBackendServers = rules.drainedBackendServers.withMembership(id, drained))
        }

    private fun editRules(text: String, key: String, change: (TrafficRules) -> TrafficRules): Either<String, String> {
        val rules =
            read(SectionName.TRAFFIC_RULES, text)?.trafficRules
                ?: return "the section has findings; correct them first".left()
        val wanted = change(rules)
        val written = DeploymentWriter.write(Deployment(trafficRules = wanted), SectionName.TRAFFIC_RULES)
        val root = YamlTree.parse(SectionName.TRAFFIC_RULES.key, text).getOrNull() as? YamlMap
        val edited = root?.let { replaceKey(text.lines(), it, key, written) }
        val kept = edited?.takeIf { read(SectionName.TRAFFIC_RULES, it)?.trafficRules == wanted }
        return (kept ?: written).right()
    }

    private fun read(name: SectionName, text: String): Deployment? =
        DeploymentReader.read(mapOf(name to text), Revision.NONE).takeIf { it.findings.isEmpty() }?.deployment

    private fun editTakenOut(lines: List<String>, root: YamlNode, zone: AvailabilityZone, takenOut: Boolean): String? {
        val item = (root as? YamlList)?.items?.filterIsInstance<YamlMap>()
            ?.find { it.getScalar("name")?.content == zone.value } ?: return null
        val present = item.getKey(TAKEN_OUT)
        val edited = lines.toMutableList()
        if (present != null) {
            val line = present.location.line - 1
            edited[line] = lines[line].replaceAfter("$TAKEN_OUT:", " $takenOut")
        } else {
            val name = item.getKey("name")?.location ?: return null
            edited.add(name.line, " ".repeat(name.column - 1) + "$TAKEN_OUT: $takenOut")
        }
        return edited.joinToString("\n")
    }

    private fun replaceKey(lines: List<String>, root: YamlMap, key: String, written: String): String {
        val keys = root.entries.keys.sortedBy { it.location.line }
        val index = keys.indexOfFirst { it.content == key }
        val start = if (index < 0) lines.size else keys[index].location.line - 1
        val end = keys.getOrNull(index + 1)?.takeIf { index >= 0 }?.location?.line?.minus(1) ?: lines.size
        val before = lines.subList(0, start).joinToString("\n").trimEnd()
        val after = lines.subList(end, lines.size).joinToString("\n")
        return listOf(before, keyBlock(written, key), after).filter { it.isNotBlank() }.joinToString("\n") + "\n"
    }

    private fun keyBlock(written: String, key: String): String {
        val lines = written.lines()
        val start = lines.indexOfFirst { it.startsWith("$key:") }
        val rest = lines.drop(start + 1).takeWhile { it.startsWith(' ') || it.startsWith('-') }
        return (listOf(lines[start]) + rest).joinToString("\n")
    }

    private fun <T> List<T>.withMembership(element: T, present: Boolean): List<T> =
        if (present) this - element + element else this - element

    private const val TAKEN_OUT = "takenOut"
    private const val DRAINED_ENTRIES = "drainedEntries"
    private const val DRAINED_BACKEND_SERVERS = "drainedBackendServers"
}
