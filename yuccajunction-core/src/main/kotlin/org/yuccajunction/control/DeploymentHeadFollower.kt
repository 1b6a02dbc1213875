package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.yuccajunction.configuration.ConfigurationSettings
import org.yuccajunction.configuration.ConfigurationState
import org.yuccajunction.configuration.DeploymentHead
import org.yuccajunction.configuration.ObjectKeys
import org.yuccajunction.model.Revision
import org.yuccajunction.port.ObjectListing
import kotlin.random.Random

/**
 * Follows the head object of the configuration in the object API with one listing and then successive watches.
 *
 * After a failed call, and when the object API returns a lower version than before, the follower lists again.
 */
internal class DeploymentHeadFollower(private val settings: ConfigurationSettings) {
    fun onTick(board: Blackboard, random: Random): ControlStep {
        val state = board.configuration
        if (state.isListingOrWatchingHead || !state.headSchedule.isDue(board.now)) return ControlStep(board)
        val next =
            state.copy(
                isListingOrWatchingHead = true,
                headSchedule = state.headSchedule.afterStart(board.now, settings.firstRetryDelay, random),
            )
        val command =
            state.watchedVersion
                ?.let { ControlCommand.WatchObjects(ObjectKeys.DEPLOYMENT_HEAD, it, settings.maxWatchTime) }
                ?: ControlCommand.ListObjects(ObjectKeys.DEPLOYMENT_HEAD)
        return ControlStep(board.copy(configuration = next), persistentListOf(command))
    }

    fun onListed(board: Blackboard, listing: ObjectListing): ControlStep {
        val state = board.configuration.copy(isListingOrWatchingHead = false)
        return when (listing) {
            is ObjectListing.Listed -> onHeadListed(board, state, listing)
            ObjectListing.Compacted -> ControlStep(board.copy(configuration = state.copy(watchedVersion = null)))
            is ObjectListing.Unavailable -> onUnavailable(board, state, listing.detail)
        }
    }

    private fun onHeadListed(board: Blackboard, state: ConfigurationState, listing: ObjectListing.Listed): ControlStep {
        val versionWentBack = state.watchedVersion != null && listing.version < state.watchedVersion
        val revision =
            listing.objects
                .find { it.key == ObjectKeys.DEPLOYMENT_HEAD }
                ?.value
                ?.let(::revisionOf)
        val storedRevision = revision ?: state.storedRevision
        val next =
            state
                .copy(
                    headSchedule = state.headSchedule.afterSuccess(),
                    watchedVersion = listing.version.takeUnless { versionWentBack },
                    storedRevision = storedRevision,
                ).withKnownRevision(storedRevision)
        val availableLog =
            if (state.headSchedule.consecutiveFailures >= FAILURES_BEFORE_LOG) {
                log(LogEvent.STORE_AVAILABLE, "")
            } else {
                noCommands
            }
        val isOlder = storedRevision < board.deployment.revision && storedRevision != board.configuration.storedRevision
        val ignoredLog =
            if (isOlder) {
                log(LogEvent.DEPLOYMENT_IGNORED, "the object API holds revision $storedRevision")
            } else {
                noCommands
            }
        return ControlStep(board.copy(configuration = next), availableLog.addAll(ignoredLog))
    }

    private fun onUnavailable(board: Blackboard, state: ConfigurationState, detail: String): ControlStep {
        val next = state.copy(headSchedule = state.headSchedule.afterFailure(), watchedVersion = null)
        val isFirstLog = next.headSchedule.consecutiveFailures == FAILURES_BEFORE_LOG
        val unavailableLog = if (isFirstLog) log(LogEvent.STORE_UNAVAILABLE, detail) else noCommands
        return ControlStep(board.copy(configuration = next), unavailableLog)
    }

    private fun revisionOf(head: String): Revision? =
        try {
            JSON.decodeFromString(DeploymentHead.serializer(), head).revision
        } catch (exception: SerializationException) {
            null
        } catch (exception: IllegalArgumentException) {
            null
        }

    private fun log(event: LogEvent, detail: String): PersistentList<ControlCommand> =
        persistentListOf(ControlCommand.Log(event, detail))

    private companion object {
        const val FAILURES_BEFORE_LOG = 3
        val JSON = Json { ignoreUnknownKeys = true }
        val noCommands = persistentListOf<ControlCommand>()
    }
}
