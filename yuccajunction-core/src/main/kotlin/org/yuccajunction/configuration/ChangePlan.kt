package org.yuccajunction.configuration

import org.yuccajunction.document.Deployment
import org.yuccajunction.document.DeploymentReader
import org.yuccajunction.document.DeploymentWriter
import org.yuccajunction.document.SectionName
import org.yuccajunction.model.Finding
import org.yuccajunction.model.Revision
import java.security.MessageDigest

/**
 * Computes the head and the section texts that result from one change.
 *
 * @param inForce the configuration in force at the calling entry; when its revision is newer than the stored head, the
 * change also restores every stored section that differs from it
 */
internal class ChangePlan(
    private val stored: DeploymentSnapshot,
    inForce: Deployment,
    private val request: ChangeRequest,
) {
    private val restoredTexts: Map<SectionName, String> = textsToRestore(stored, inForce)
    private val baseTexts = stored.texts + restoredTexts
    private val baseRevisions = stored.head.sectionRevisions + restoredTexts.mapValues { inForce.revision }

    /** The newest revision known to the calling entry: the stored one or the one in force. */
    val currentRevision: Revision = maxOf(stored.head.revision, inForce.revision)

    /** The revision of the resulting configuration. */
    val nextRevision: Revision = currentRevision.next()

    /** The texts to store, by section: restored ones and those of the request. */
    val newTexts: Map<SectionName, String> = restoredTexts + request.texts

    /** Whether every text of the request is already stored and nothing is to be restored. */
    val changesNothing: Boolean =
        restoredTexts.isEmpty() && request.texts.all { (name, text) -> stored.texts[name] == text }

    /** Returns a conflict when a section of the request was changed after its author read it; null otherwise. */
    fun findConflict(): ChangeOutcome.Conflict? {
        val section = request.texts.keys.find { (baseRevisions[it] ?: Revision.NONE) > request.readAt } ?: return null
        return ChangeOutcome.Conflict(currentRevision, stored.head.changes.findLast { it.section == section }?.author)
    }

    /** Returns the findings that block the change: those of changed sections, and new ones of other sections. */
    fun blockingFindings(): List<Finding> {
        val before = DeploymentReader.read(baseTexts, currentRevision).findings.toSet()
        val changed = request.texts.keys.map { it.key }
        return DeploymentReader.read(baseTexts + request.texts, nextRevision).findings
            .filter { it.section in changed || it !in before }
    }

    /** Returns the key of the object for the new text of [name], unique for each write id and text. */
    fun sectionObjectKey(name: SectionName): String =
        ObjectKeys.section(name, request.writeId + "." + digestPrefix(newTexts.getValue(name)))

    /** Returns the resulting head, without the changes that [droppedChanges] returns. */
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

    /** Returns the oldest changes, which no longer fit into the resulting head. */
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
