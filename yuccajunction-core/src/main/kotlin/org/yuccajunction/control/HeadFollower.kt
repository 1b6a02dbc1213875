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
 * Follows the head of the configuration in the object API, by a listing and then one watch after another.
 *
 * After every failure, and whenever the versions of the store went back, it begins with a listing again.
 */
internal class HeadFollower(private val settings: ConfigurationSettings) {
    fun onTick(board: Blackboard, random: Random): ControlStep {
        val state = board.configuration
        if (state.isFollowing || !state.following.isDue(board.now)) return ControlStep(board)
        val next =
            state.copy(isFollowing = true, following = state.following.afterStart(board.now, settings.retry, random))
        val command =
            state.watchedVersion
                ?.let { ControlCommand.WatchObjects(ObjectKeys.DEPLOYMENT_HEAD, it, settings.watchTime) }
                ?: ControlCommand.ListObjects(ObjectKeys.DEPLOYMENT_HEAD)
        return ControlStep(board.copy(configuration = next), persistentListOf(command))
    }

    fun onListed(board: Blackboard, listing: ObjectListing): ControlStep {
        val state = board.configuration.copy(isFollowing = false)
        return when (listing) {
            is ObjectListing.Listed -> listed(board, state, listing)
            ObjectListing.Compacted -> ControlStep(board.copy(configuration = state.copy(watchedVersion = null)))
            is ObjectListing.Unavailable -> unavailable(board, state, listing.detail)
        }
    }

    private fun listed(board: Blackboard, state: ConfigurationState, listing: ObjectListing.Listed): ControlStep {
        val wentBack = state.watchedVersion != null && listing.version < state.watchedVersion
        val revision =
            listing.objects
                .find { it.key == ObjectKeys.DEPLOYMENT_HEAD }
                ?.value
                ?.let(::revisionOf)
        val stored = revision ?: state.stored
        val next =
            state
                .copy(
                    following = state.following.afterSuccess(),
                    watchedVersion = listing.version.takeUnless { wentBack },
                    stored = stored,
                ).hearing(stored)
        val returned =
            if (state.following.consecutiveFailures >= FAILURES_TOLD) log(LogEvent.STORE_AVAILABLE, "") else nothing
        val isOlder = stored < board.deployment.revision && stored != board.configuration.stored
        val ignored = if (isOlder) {
            log(
                LogEvent.DEPLOYMENT_IGNORED,
                "the object API holds revision $stored",
            )
        } else {
            nothing
        }
        return ControlStep(board.copy(configuration = next), returned.addAll(ignored))
    }

    private fun unavailable(board: Blackboard, state: ConfigurationState, detail: String): ControlStep {
        val next = state.copy(following = state.following.afterFailure(), watchedVersion = null)
        val isNews = next.following.consecutiveFailures == FAILURES_TOLD
        val logged = if (isNews) log(LogEvent.STORE_UNAVAILABLE, detail) else nothing
        return ControlStep(board.copy(configuration = next), logged)
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
        const val FAILURES_TOLD = 3
        val JSON = Json { ignoreUnknownKeys = true }
        val nothing = persistentListOf<ControlCommand>()
    }
}
