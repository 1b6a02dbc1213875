package org.yuccajunction.control

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.yuccajunction.lease.HeldLease
import org.yuccajunction.lease.LeaseState
import org.yuccajunction.model.FencingNumber
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.ObjectWriting
import org.yuccajunction.port.StoredObject
import kotlin.time.Duration.Companion.hours

/** The object API in memory; a watch answers at once. */
class SimulatedObjectStore {
    private val objects = mutableMapOf<String, StoredObject>()
    private var version = 0L
    var isAvailable = true

    fun perform(command: ControlCommand): ControlEvent? =
        when (command) {
            is ControlCommand.WriteObject -> ControlEvent.ObjectWritten(command.key, write(command))
            is ControlCommand.ReadObject -> ControlEvent.ObjectRead(command.key, read(command.key))
            is ControlCommand.ListObjects -> ControlEvent.ObjectsListed(command.prefix, list(command.prefix, 0))
            is ControlCommand.WatchObjects ->
                ControlEvent.ObjectsListed(command.prefix, list(command.prefix, command.after.value))
            else -> null
        }

    private fun write(command: ControlCommand.WriteObject): ObjectWriting {
        if (!isAvailable) return ObjectWriting.Unknown("down")
        val expected = command.expected
        val known = objects[command.key]?.version
        val matches = if (expected is ExpectedVersion.Is) known == expected.version else known == null
        if (!matches) return ObjectWriting.Conflict
        version += 1
        objects[command.key] = StoredObject(command.key, ObjectVersion(version), command.value)
        return ObjectWriting.Written(ObjectVersion(version))
    }

    private fun read(key: String): ObjectReading =
        when {
            !isAvailable -> ObjectReading.Unavailable("down")
            else -> objects[key]?.let { ObjectReading.Found(it) } ?: ObjectReading.Absent
        }

    private fun list(prefix: String, after: Long): ObjectListing {
        if (!isAvailable) return ObjectListing.Unavailable("down")
        val found = objects.values.filter { it.key.startsWith(prefix) && it.version.value > after }
        return ObjectListing.Listed(ObjectVersion(version), found.toPersistentList())
    }
}

/** Returns the blackboard of an entry that holds [lease]. */
fun Blackboard.holding(lease: String): Blackboard =
    copy(leases = LeaseState(persistentMapOf(lease to HeldLease(FencingNumber(1), now + 1.hours))))
