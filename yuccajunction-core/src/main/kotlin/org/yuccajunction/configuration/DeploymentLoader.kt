package org.yuccajunction.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.yuccajunction.document.Deployment
import org.yuccajunction.document.DeploymentReader
import org.yuccajunction.document.SectionName
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectStore

/**
 * Reads the configuration in force from the object API: the head first, then the sections that it names.
 *
 * Caches section texts between calls, since section objects are immutable. Not safe for concurrent calls.
 */
public class DeploymentLoader(private val store: ObjectStore) {
    private var texts: PersistentMap<String, String> = persistentMapOf()

    /** Reads the head and the sections; a section with findings keeps its content from [previous]. */
    public suspend fun load(previous: Deployment = Deployment()): DeploymentLoadResult =
        when (val reading = store.read(ObjectKeys.DEPLOYMENT_HEAD)) {
            is ObjectReading.Found -> decodeHead(reading.stored.value).fold({ it }, { loadSections(it, previous) })
            ObjectReading.Absent -> DeploymentLoadResult.Absent
            is ObjectReading.Unavailable -> DeploymentLoadResult.Unavailable(reading.detail)
        }

    private fun decodeHead(text: String?): Either<DeploymentLoadResult, DeploymentHead> {
        if (text == null) return DeploymentLoadResult.Absent.left()
        return try {
            JSON.decodeFromString(DeploymentHead.serializer(), text).right()
        } catch (exception: SerializationException) {
            DeploymentLoadResult.Unavailable("unreadable head: ${exception.message}").left()
        } catch (exception: IllegalArgumentException) {
            DeploymentLoadResult.Unavailable("unreadable head: ${exception.message}").left()
        }
    }

    private suspend fun loadSections(head: DeploymentHead, previous: Deployment): DeploymentLoadResult {
        val sections = mutableMapOf<SectionName, String>()
        for ((name, key) in head.sections) {
            sections[name] =
                sectionText(key) ?: return DeploymentLoadResult.Unavailable("section object $key could not be read")
        }
        texts = texts.retaining(head.sections.values)
        val reading = DeploymentReader.read(sections, head.revision, previous)
        return DeploymentLoadResult.Loaded(reading.deployment, reading.findings)
    }

    private suspend fun sectionText(key: String): String? {
        texts[key]?.let { return it }
        val text = (store.read(key) as? ObjectReading.Found)?.stored?.value ?: return null
        texts = texts.put(key, text)
        return text
    }

    private fun PersistentMap<String, String>.retaining(keys: Collection<String>): PersistentMap<String, String> =
        (this.keys - keys.toSet()).fold(this) { kept, key -> kept.remove(key) }

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
