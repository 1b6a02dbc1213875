package org.yuccajunction.adapters.platform

import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.delete
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.parameter
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.yuccajunction.model.Endpoint
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.ObjectWriting
import org.yuccajunction.port.StoredObject
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Calls the object API over HTTP, as docs/PLATFORM.md describes it.
 *
 * A write without a response, or with an unexpected status, returns [ObjectWriting.Unknown].
 */
public class HttpObjectStore(private val client: HttpClient, private val endpoint: Endpoint) : ObjectStore {
    override suspend fun read(key: String): ObjectReading =
        outcomeOf { client.get(url("/v1/objects/$key")).toReading(key) }
            .valueOr { ObjectReading.Unavailable(it.detail) }

    override suspend fun write(key: String, value: String, expected: ExpectedVersion): ObjectWriting =
        outcomeOf {
            val response = client.put(url("/v1/objects/$key")) {
                setPrecondition(expected)
                setBody(value)
            }
            response.toWriting()
        }.valueOr(::writingFailure)

    override suspend fun remove(key: String, expected: ExpectedVersion): ObjectWriting =
        outcomeOf { client.delete(url("/v1/objects/$key")) { setPrecondition(expected) }.toWriting() }
            .valueOr(::writingFailure)

    override suspend fun list(prefix: String): ObjectListing =
        outcomeOf { client.get(url("/v1/objects")) { parameter("prefix", prefix) }.toListing() }
            .valueOr { ObjectListing.Unavailable(it.detail) }

    override suspend fun watch(prefix: String, after: ObjectVersion, atMost: Duration): ObjectListing =
        outcomeOf {
            val response = client.get(url("/v1/watch")) {
                parameter("prefix", prefix)
                parameter("after", after.value)
                parameter("timeoutSeconds", atMost.inWholeSeconds)
                timeout { requestTimeoutMillis = (atMost + WATCH_TIMEOUT_MARGIN).inWholeMilliseconds }
            }
            response.toListing()
        }.valueOr { ObjectListing.Unavailable(it.detail) }

    private fun url(path: String): String = "http://$endpoint$path"
}

@Serializable
private data class ListingBody(val version: Long, val objects: List<ObjectBody>)

@Serializable
private data class ObjectBody(val key: String, val version: Long, val value: String? = null)

private val JSON = Json { ignoreUnknownKeys = true }

private fun HttpRequestBuilder.setPrecondition(expected: ExpectedVersion) {
    when (expected) {
        ExpectedVersion.Absent -> header(HttpHeaders.IfNoneMatch, "*")
        is ExpectedVersion.Is -> header(HttpHeaders.IfMatch, "\"${expected.version}\"")
    }
}

private fun HttpResponse.versionFromETag(): ObjectVersion? =
    headers[HttpHeaders.ETag]?.removeSurrounding("\"")?.toLongOrNull()?.let(::ObjectVersion)

private suspend fun HttpResponse.toReading(key: String): ObjectReading {
    val version = versionFromETag()
    return when {
        status == HttpStatusCode.OK && version != null ->
            ObjectReading.Found(StoredObject(key, version, bodyAsText()))
        status == HttpStatusCode.NotFound -> ObjectReading.Absent
        else -> ObjectReading.Unavailable("status $status")
    }
}

private fun HttpResponse.toWriting(): ObjectWriting =
    when (status) {
        HttpStatusCode.OK, HttpStatusCode.NoContent ->
            versionFromETag()?.let(ObjectWriting::Written)
                ?: ObjectWriting.Unknown("the response has no version in the ETag header")
        HttpStatusCode.PreconditionFailed -> ObjectWriting.Conflict
        in REFUSAL_STATUSES -> ObjectWriting.Refused("status $status")
        else -> ObjectWriting.Unknown("status $status")
    }

private suspend fun HttpResponse.toListing(): ObjectListing =
    when (status) {
        HttpStatusCode.OK -> JSON.decodeFromString(ListingBody.serializer(), bodyAsText()).toListing()
        HttpStatusCode.Gone -> ObjectListing.Compacted
        else -> ObjectListing.Unavailable("status $status")
    }

private fun ListingBody.toListing(): ObjectListing.Listed =
    ObjectListing.Listed(
        ObjectVersion(version),
        objects.map { StoredObject(it.key, ObjectVersion(it.version), it.value) }.toPersistentList(),
    )

private fun writingFailure(failure: HttpFailure): ObjectWriting =
    if (failure.mayHaveBeenSent) ObjectWriting.Unknown(failure.detail) else ObjectWriting.Refused(failure.detail)

private val REFUSAL_STATUSES =
    setOf(
        HttpStatusCode.BadRequest,
        HttpStatusCode.NotFound,
        HttpStatusCode.PayloadTooLarge,
        HttpStatusCode(PRECONDITION_REQUIRED_STATUS, "Precondition Required"),
        HttpStatusCode.TooManyRequests,
        HttpStatusCode.ServiceUnavailable,
    )

private const val PRECONDITION_REQUIRED_STATUS = 428

private val WATCH_TIMEOUT_MARGIN = 2.seconds
