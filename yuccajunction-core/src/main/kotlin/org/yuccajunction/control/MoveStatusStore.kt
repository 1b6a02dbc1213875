package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.yuccajunction.configuration.ObjectKeys
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.ObjectWriting
import org.yuccajunction.port.StoredObject
import org.yuccajunction.rollout.MoveStatus
import org.yuccajunction.rollout.RolloutState
import org.yuccajunction.rollout.StatusWrite
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Reads and writes the statuses of moves in the object API. */
internal object MoveStatusStore {
    private val PREFIX = ObjectKeys.moveStatus("")
    private val WATCH_TIMEOUT = 20.seconds
    private val CALL_TIMEOUT = 30.seconds
    private val WRITE_TIMEOUT = 5.seconds
    private val CALL_INTERVAL = 1.seconds
    private val JSON = Json { ignoreUnknownKeys = true }

    /** Begins the next listing or watch where one is due and a move is still open. */
    fun watchIfDue(board: Blackboard, random: Random): ControlStep {
        val calls = board.rollout.statusCalls
        val isWaiting = calls.pendingSince != null && board.now - calls.pendingSince < CALL_TIMEOUT
        if (isWaiting || !calls.polling.isDue(board.now) || !hasOpenMove(board)) return ControlStep(board)
        val begun =
            calls.copy(
                pendingSince = board.now,
                polling = calls.polling.afterStart(board.now, CALL_INTERVAL, random),
            )
        val command =
            calls.watchAfterVersion?.let { ControlCommand.WatchObjects(PREFIX, it, WATCH_TIMEOUT) }
                ?: ControlCommand.ListObjects(PREFIX)
        return ControlStep(board.withRollout { copy(statusCalls = begun) }, persistentListOf(command))
    }

    fun onListed(board: Blackboard, event: ControlEvent.ObjectsListed): Blackboard {
        if (event.prefix != PREFIX) return board
        val calls = board.rollout.statusCalls.copy(pendingSince = null)
        return when (val listing = event.listing) {
            is ObjectListing.Listed -> {
                val updated = calls.copy(watchAfterVersion = listing.version, polling = calls.polling.afterSuccess())
                listing.objects.fold(board.withRollout { copy(statusCalls = updated) }, ::withStored)
            }
            is ObjectListing.Compacted -> board.withRollout { copy(statusCalls = calls.copy(watchAfterVersion = null)) }
            is ObjectListing.Unavailable ->
                board.withRollout { copy(statusCalls = calls.copy(polling = calls.polling.afterFailure())) }
        }
    }

    fun onRead(board: Blackboard, event: ControlEvent.ObjectRead): Blackboard {
        val reading = event.reading
        return if (event.key.startsWith(PREFIX) && reading is ObjectReading.Found) {
            withStored(board, reading.stored)
        } else {
            board
        }
    }

    /** Writes [status], unless a write for the same move is still under way. */
    fun write(board: Blackboard, status: MoveStatus): ControlStep {
        val writing = board.rollout.statusCalls.pendingWrites
        val pending = writing[status.move]
        if (pending != null && board.now - pending.sentAt < WRITE_TIMEOUT) return ControlStep(board)
        val begun =
            board.rollout.statusCalls.copy(pendingWrites = writing.put(status.move, StatusWrite(status, board.now)))
        val expected =
            board.rollout.statusObjectVersions[status.move]?.let { ExpectedVersion.Is(it) } ?: ExpectedVersion.Absent
        val command =
            ControlCommand.WriteObject(
                key = ObjectKeys.moveStatus(status.move),
                value = JSON.encodeToString(MoveStatus.serializer(), status),
                expected = expected,
            )
        return ControlStep(board.withRollout { copy(statusCalls = begun) }, persistentListOf(command))
    }

    fun onWritten(board: Blackboard, event: ControlEvent.ObjectWritten): ControlStep {
        if (!event.key.startsWith(PREFIX)) return ControlStep(board)
        val move = event.key.removePrefix(PREFIX)
        val write = board.rollout.statusCalls.pendingWrites[move] ?: return ControlStep(board)
        val ended = board.withRollout {
            copy(statusCalls = statusCalls.copy(pendingWrites = statusCalls.pendingWrites.remove(move)))
        }
        return when (val writing = event.writing) {
            is ObjectWriting.Written ->
                ControlStep(ended.withRollout { withStatus(write.status).withVersion(move, writing.version) })
            is ObjectWriting.Refused -> ControlStep(board)
            is ObjectWriting.Conflict, is ObjectWriting.Unknown -> ControlStep(ended, readBack(event.key))
        }
    }

    private fun readBack(key: String): PersistentList<ControlCommand> = persistentListOf(ControlCommand.ReadObject(key))

    private fun withStored(board: Blackboard, stored: StoredObject): Blackboard {
        val move = stored.key.removePrefix(PREFIX)
        val known = board.rollout.statusObjectVersions[move]
        if (known != null && stored.version < known) return board
        val status = stored.value?.let { decode(it) }
        return board.withRollout { (status?.let { withStatus(it) } ?: this).withVersion(move, stored.version) }
    }

    private fun decode(text: String): MoveStatus? =
        try {
            JSON.decodeFromString(MoveStatus.serializer(), text)
        } catch (exception: SerializationException) {
            null
        }

    private fun hasOpenMove(board: Blackboard): Boolean =
        board.deployment.versions.any { board.rollout.moves[it.name]?.isFinal != true }

    private fun RolloutState.withVersion(move: String, version: ObjectVersion) =
        copy(
        statusObjectVersions = statusObjectVersions.put(move, version),
    )
}

/** Returns the blackboard with its rollout state changed by [change]. */
internal fun Blackboard.withRollout(change: RolloutState.() -> RolloutState): Blackboard =
    copy(rollout = rollout.change())
