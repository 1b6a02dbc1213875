package org.yuccajunction.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import kotlinx.serialization.json.Json
import org.yuccajunction.model.Revision
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.ObjectWriting
import org.yuccajunction.port.StoredObject

/** Reads and writes the objects of the configuration; a left value says why the object API could not serve the call. */
public class DeploymentStore(private val store: ObjectStore) {
    /** Reads the head and every section that it names. */
    public suspend fun readCurrent(): Either<String, DeploymentSnapshot> =
        when (val reading = store.read(ObjectKeys.DEPLOYMENT_HEAD)) {
            is ObjectReading.Absent -> DeploymentSnapshot.NONE.right()
            is ObjectReading.Unavailable -> reading.detail.left()
            is ObjectReading.Found -> readSnapshot(reading.stored)
        }

    /** Reads the configuration that was in force at [revision]; a right value of null: not in the history. */
    public suspend fun readRevision(revision: Revision): Either<String, DeploymentSnapshot?> =
        when (val reading = store.read(ObjectKeys.history(revision))) {
            is ObjectReading.Absent -> null.right()
            is ObjectReading.Unavailable -> reading.detail.left()
            is ObjectReading.Found -> readSnapshot(reading.stored)
        }

    /** Saves [head], which a change is about to replace, to the history; the history lacks the head in force. */
    public suspend fun saveToHistory(head: DeploymentHead): Either<String, Unit> =
        createIfAbsent(ObjectKeys.history(head.revision), json.encodeToString(head))

    /** Creates an immutable object; an object that exists already counts as created. */
    public suspend fun createIfAbsent(key: String, value: String): Either<String, Unit> {
        repeat(MAX_CREATE_ATTEMPTS) {
            when (val writing = store.write(key, value, ExpectedVersion.Absent)) {
                is ObjectWriting.Written, is ObjectWriting.Conflict -> return Unit.right()
                is ObjectWriting.Refused -> return writing.detail.left()
                is ObjectWriting.Unknown -> Unit
            }
        }
        return "no answer to the write of $key".left()
    }

    /** Replaces the head if it still meets [expected]. */
    public suspend fun replaceHead(head: DeploymentHead, expected: ExpectedVersion): ObjectWriting =
        store.write(ObjectKeys.DEPLOYMENT_HEAD, json.encodeToString(head), expected)

    /** Removes an object that no head names any more; a failure is ignored, since the object has no effect. */
    public suspend fun removeUnreferenced(key: String) {
        val reading = store.read(key)
        if (reading is ObjectReading.Found) store.remove(key, ExpectedVersion.Is(reading.stored.version))
    }

    private suspend fun readSnapshot(stored: StoredObject): Either<String, DeploymentSnapshot> =
        either {
            val head = decodeHead(stored).bind()
            val texts = head.sections.mapValues { (_, key) -> readText(key).bind() }
            DeploymentSnapshot(head, ExpectedVersion.Is(stored.version), texts)
        }

    private fun decodeHead(stored: StoredObject): Either<String, DeploymentHead> =
        Either
            .catchOrThrow<IllegalArgumentException, DeploymentHead> { json.decodeFromString(stored.value.orEmpty()) }
            .mapLeft { "${stored.key} is unreadable" }

    private suspend fun readText(key: String): Either<String, String> =
        when (val reading = store.read(key)) {
            is ObjectReading.Found -> reading.stored.value.orEmpty().right()
            is ObjectReading.Absent -> "$key is missing".left()
            is ObjectReading.Unavailable -> reading.detail.left()
        }

    private companion object {
        const val MAX_CREATE_ATTEMPTS = 3
        val json = Json { ignoreUnknownKeys = true }
    }
}
