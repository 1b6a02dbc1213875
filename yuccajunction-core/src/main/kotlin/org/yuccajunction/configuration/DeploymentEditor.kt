package org.yuccajunction.configuration

import arrow.core.getOrElse
import org.yuccajunction.document.Deployment
import org.yuccajunction.model.Revision
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.ObjectWriting

/**
 * Applies operators' changes to the configuration in the object API.
 *
 * Several entries may edit at once: the conditional write of the head decides which change wins. An accepted change is
 * never lost, and a change is reported as not made only when it can no longer take effect.
 *
 * @param waitAfterAttempt waits after a failed attempt; the number of that attempt counts from 1
 */
public class DeploymentEditor(store: ObjectStore, private val waitAfterAttempt: suspend (attempt: Int) -> Unit = {}) {
    private val deployments = DeploymentStore(store)

    /**
     * Applies [request] and returns its outcome.
     *
     * [inForce] is the configuration in force at the calling entry. When the object API holds an older one, for example
     * after a restore from a backup, the change is made on top of [inForce] and under a larger revision.
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
            return ChangeOutcome.Unavailable("this entry has not seen revision ${request.readAt} yet; try again later")
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
            is ObjectWriting.Conflict -> before.copy(detail = "a concurrent change replaced the head first")
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
 * The progress of a request over the attempts.
 *
 * @property unconfirmedOn the snapshot on top of which a head was written whose outcome is unknown
 */
private data class Progress(
    val unconfirmedOn: DeploymentSnapshot? = null,
    val detail: String = "",
    val outcome: ChangeOutcome? = null,
) {
    /** Returns the progress after reading [stored], whose changes do not hold the write of this request.
     *
     * When the head has changed since the unconfirmed write, that write can no longer take effect; it did not happen if
     * the head still holds every change made since. */
    fun afterReading(stored: DeploymentSnapshot): Progress {
        if (unconfirmedOn == null || stored.expectedVersion == unconfirmedOn.expectedVersion) return this
        val remembered = stored.head.changes
        val complete = remembered.size < DeploymentHead.MAX_KEPT_CHANGES ||
            remembered.first().revision <= unconfirmedOn.head.revision
        if (complete) return copy(unconfirmedOn = null)
        return copy(
            outcome = ChangeOutcome.Unknown("the head no longer lists every change since the unconfirmed write"),
        )
    }
}
