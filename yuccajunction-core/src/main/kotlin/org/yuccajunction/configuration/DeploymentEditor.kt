package org.yuccajunction.configuration

import arrow.core.getOrElse
import org.yuccajunction.document.Deployment
import org.yuccajunction.model.Revision
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.ObjectWriting

/**
 * Applies operators' changes to the configuration in the object API.
 *
 * Many entries may do so at once; the head's version decides between them. No change that was reported as accepted is
 * lost, and a change is reported as not made only where it can't take effect any more.
 *
 * @param waitAfterAttempt waits before the next attempt, which is counted from 1
 */
public class DeploymentEditor(store: ObjectStore, private val waitAfterAttempt: suspend (attempt: Int) -> Unit = {}) {
    private val deployments = DeploymentStore(store)

    /**
     * Applies [request] and reports what became of it.
     *
     * [inForce] is the configuration that the calling entry has. Where the store holds an older one, because it was
     * restored, the change is made on top of [inForce] and under a larger revision.
     */
    public suspend fun apply(request: ChangeRequest, inForce: Deployment): ChangeOutcome {
        var progress = Progress()
        for (attempt in 1..MAX_ATTEMPTS) {
            val next = applyOnce(request, inForce, progress)
            next.outcome?.let { return it }
            progress = next
            waitAfterAttempt(attempt)
        }
        return progress.unconfirmedOn?.let { ChangeOutcome.Unknown(progress.detail) }
            ?: ChangeOutcome.Unavailable(progress.detail)
    }

    private suspend fun applyOnce(request: ChangeRequest, inForce: Deployment, before: Progress): Progress {
        val stored = deployments.readCurrent().getOrElse { return before.copy(detail = it) }
        val own = stored.head.changes.find { it.writeId == request.writeId }
        if (own != null) return before.copy(outcome = ChangeOutcome.Accepted(own.revision))
        val progress = before.afterReading(stored)
        val plan = ChangePlan(stored, inForce, request)
        val outcome = progress.outcome ?: rejection(plan, request)
        return if (outcome == null) write(stored, plan, progress) else progress.copy(outcome = outcome)
    }

    private fun rejection(plan: ChangePlan, request: ChangeRequest): ChangeOutcome? {
        if (request.readAt > plan.currentRevision) {
            return ChangeOutcome.Unavailable("revision ${request.readAt} is not known here yet")
        }
        plan.findConflict()?.let { return it }
        if (plan.changesNothing) return ChangeOutcome.Accepted(plan.currentRevision)
        return plan.blockingFindings().takeIf { it.isNotEmpty() }?.let { ChangeOutcome.Invalid(it) }
    }

    private suspend fun write(stored: DeploymentSnapshot, plan: ChangePlan, before: Progress): Progress {
        for ((name, text) in plan.newTexts) {
            deployments.createIfAbsent(plan.sectionObjectKey(name), text).onLeft { return before.copy(detail = it) }
        }
        if (stored.head.revision > Revision.NONE) {
            deployments.saveToHistory(stored.head).onLeft { return before.copy(detail = it) }
        }
        return when (val writing = deployments.replaceHead(plan.nextHead(), stored.expectedVersion)) {
            is ObjectWriting.Written -> {
                removeDropped(plan)
                before.copy(outcome = ChangeOutcome.Accepted(plan.nextRevision))
            }
            is ObjectWriting.Conflict -> before.copy(detail = "other operators' changes came first")
            is ObjectWriting.Refused -> before.copy(detail = writing.detail)
            is ObjectWriting.Unknown -> before.copy(unconfirmedOn = stored, detail = writing.detail)
        }
    }

    private suspend fun removeDropped(plan: ChangePlan) {
        for (change in plan.droppedChanges()) {
            change.replacedKey?.let { deployments.removeUnreferenced(it) }
            deployments.removeUnreferenced(ObjectKeys.history(change.revision))
        }
    }

    private companion object {
        const val MAX_ATTEMPTS = 8
    }
}

/**
 * How far a request has come.
 *
 * @property unconfirmedOn the head on top of which a write was sent that may still take effect
 */
private data class Progress(
    val unconfirmedOn: DeploymentSnapshot? = null,
    val detail: String = "",
    val outcome: ChangeOutcome? = null,
) {
    /** Settles the doubt where [stored], which does not remember the write, proves that it can't take effect. */
    fun afterReading(stored: DeploymentSnapshot): Progress {
        if (unconfirmedOn == null || stored.expectedVersion == unconfirmedOn.expectedVersion) return this
        val remembered = stored.head.changes
        val complete = remembered.size < DeploymentHead.MAX_KEPT_CHANGES ||
            remembered.first().revision <= unconfirmedOn.head.revision
        if (complete) return copy(unconfirmedOn = null)
        return copy(outcome = ChangeOutcome.Unknown("too many changes have been made since"))
    }
}
