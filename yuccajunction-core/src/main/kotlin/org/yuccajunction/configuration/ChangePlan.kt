package org.yuccajunction.configuration

import org.yuccajunction.document.Deployment
import org.yuccajunction.document.DeploymentReader
import org.yuccajunction.document.DeploymentWriter
import org.yuccajunction.document.SectionName
import org.yuccajunction.model.Finding
import org.yuccajunction.model.Revision
import java.security.MessageDigest

/**
 * Works out the head and the section texts that one change would lead to.
 *
 * @param inForce the configuration that the calling entry has; where it is newer than what is stored, the stored
 * sections that differ from it are replaced by it
 */
internal class ChangePlan(
    private val stored: DeploymentSnapshot,
    inForce: Deployment,
    private val request: ChangeRequest,
) {
    private val restoredTexts: Map<SectionName, String> = textsToRestore(stored, inForce)
    private val baseTexts = stored.texts + restoredTexts
    private val baseRevisions = stored.head.sectionRevisions + restoredTexts.mapValues { inForce.revision }

    /** The newest revision that is known here. */
    val currentRevision: Revision = maxOf(stored.head.revision, inForce.revision)

    /** The revision of the configuration that would result. */
    val nextRevision: Revision = currentRevision.next()

    /** The texts to be stored, by section. */
    val newTexts: Map<SectionName, String> = restoredTexts + request.texts

    /** Whether the request asks for what is there already. */
    val changesNothing: Boolean =
        restoredTexts.isEmpty() && request.texts.all { (name, text) -> stored.texts[name] == text }

    /** Finds a section of the request that was changed after the request's author read it. */
    fun findConflict(): ChangeOutcome.Conflict? {
        val section = request.texts.keys.find { (baseRevisions[it] ?: Revision.NONE) > request.readAt } ?: return null
        return ChangeOutcome.Conflict(currentRevision, stored.head.changes.findLast { it.section == section }?.author)
    }

    /** Finds what keeps the result from being accepted; faults that were in other sections before don't. */
    fun blockingFindings(): List<Finding> {
        val before = DeploymentReader.read(baseTexts, currentRevision).findings.toSet()
        val changed = request.texts.keys.map { it.key }
        return DeploymentReader.read(baseTexts + request.texts, nextRevision).findings
            .filter { it.section in changed || it !in before }
    }

    /** The key of the object that holds the new text of [name]; it differs for any other wish and any other text. */
    fun sectionObjectKey(name: SectionName): String =
        ObjectKeys.section(name, request.writeId + "." + digestPrefix(newTexts.getValue(name)))

    /** The head that would result; [droppedChanges] tells what it no longer remembers. */
    fun nextHead(): DeploymentHead =
        DeploymentHead(
            revision = nextRevision,
            writeId = request.writeId,
            sections = stored.head.sections + newTexts.keys.associateWith(::sectionObjectKey),
            sectionRevisions = baseRevisions + request.texts.keys.associateWith { nextRevision },
            changes = (
                stored.head.changes + newTexts.keys.map(
                    ::sectionChange,
                )
                ).takeLast(DeploymentHead.MAX_KEPT_CHANGES),
        )

    /** The changes that the resulting head no longer remembers. */
    fun droppedChanges(): List<SectionChange> =
        stored.head.changes.take(maxOf(0, stored.head.changes.size + newTexts.size - DeploymentHead.MAX_KEPT_CHANGES))

    private fun sectionChange(name: SectionName) =
        SectionChange(nextRevision, request.writeId, name, request.author, request.at, stored.head.sections[name])
}

private const val DIGEST_PREFIX_BYTES = 8

private fun digestPrefix(text: String): String =
    MessageDigest.getInstance("SHA-256").digest(text.toByteArray()).take(DIGEST_PREFIX_BYTES).joinToString("") {
        "%02x".format(it)
    }

private fun textsToRestore(stored: DeploymentSnapshot, inForce: Deployment): Map<SectionName, String> {
    if (inForce.revision <= stored.head.revision) return emptyMap()
    val held = DeploymentReader.read(stored.texts, inForce.revision).deployment
    return SectionName.entries
        .filter { DeploymentWriter.write(held, it) != DeploymentWriter.write(inForce, it) }
        .associateWith { DeploymentWriter.write(inForce, it) }
}
