package org.yuccajunction.entry

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.raise.ExperimentalRaiseAccumulateApi
import arrow.core.raise.Raise
import arrow.core.raise.accumulate
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.Finding
import org.yuccajunction.model.InstanceId
import java.net.URI
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration.Companion.seconds

/** Reads settings from flags and environment variables; a flag takes precedence over the variable. */
public object EntrySettingsReader {
    /**
     * Returns the validated settings, or the findings of all settings.
     *
     * @param flags values given on the command line
     * @param environment environment variables of the process
     */
    @OptIn(ExperimentalRaiseAccumulateApi::class)
    public fun read(
        flags: Map<EntryFlag, String>,
        environment: Map<String, String>,
    ): Either<NonEmptyList<Finding>, EntrySettings> {
        val values = SettingValues(flags, environment)
        return either {
            accumulate {
                val instanceId by accumulating { values.instanceId(this) }
                val zone by accumulating { values.zone(this) }
                val platformUrl by accumulating { values.url(this, EntryFlag.PLATFORM_URL) }
                val cloudUrl by accumulating { values.optionalUrl(this, EntryFlag.CLOUD_URL) }
                val callerListen by accumulating { values.endpoint(this, EntryFlag.CALLER_LISTEN) }
                val peerListen by accumulating { values.endpoint(this, EntryFlag.PEER_LISTEN) }
                val operatorListen by accumulating { values.endpoint(this, EntryFlag.OPERATOR_LISTEN) }
                val callerAdvertise by accumulating { values.optionalEndpoint(this, EntryFlag.CALLER_ADVERTISE) }
                val peerAdvertise by accumulating { values.optionalEndpoint(this, EntryFlag.PEER_ADVERTISE) }
                val notice by accumulating {
                    values.number(this, EntryFlag.SHUTDOWN_NOTICE_SECONDS, NOTICE_SECONDS_RANGE)
                }
                val openRequests by accumulating {
                    values.number(this, EntryFlag.OPEN_REQUEST_LIMIT, OPEN_REQUESTS_RANGE)
                }
                val bodyLimit by accumulating { values.number(this, EntryFlag.BODY_LIMIT_BYTES, BODY_BYTES_RANGE) }
                val storeCalls by accumulating {
                    values.number(this, EntryFlag.STORE_CALLS_PER_SECOND, STORE_CALLS_PER_SECOND_RANGE)
                }
                val operatorsFile by accumulating { values.optionalFile(this, EntryFlag.OPERATORS_FILE) }
                val seed by accumulating { values.optionalSeed(this) }
                EntrySettings(
                    instanceId = instanceId,
                    availabilityZone = zone,
                    platformUrl = platformUrl,
                    cloudUrl = cloudUrl ?: platformUrl,
                    callerListen = callerListen,
                    peerListen = peerListen,
                    operatorListen = operatorListen,
                    callerAdvertise = callerAdvertise,
                    peerAdvertise = peerAdvertise,
                    shutdownNotice = notice.seconds,
                    openRequestLimit = openRequests.toInt(),
                    bodyLimitBytes = bodyLimit,
                    storeCallsPerSecond = storeCalls.toInt(),
                    operatorsFile = operatorsFile,
                    seed = seed,
                )
            }
        }
    }

    private val NOTICE_SECONDS_RANGE = 1L..3_600L
    private val OPEN_REQUESTS_RANGE = 1L..100_000L
    private val BODY_BYTES_RANGE = 1_024L..67_108_864L
    private val STORE_CALLS_PER_SECOND_RANGE = 1L..1_000L
}

private class SettingValues(private val flags: Map<EntryFlag, String>, private val environment: Map<String, String>) {
    fun instanceId(raise: Raise<Finding>): InstanceId =
        required(raise, EntryFlag.INSTANCE_ID, "a name without '~'") { text ->
            text.takeIf { it.isNotBlank() && '~' !in it }?.let(::InstanceId)
        }

    fun zone(raise: Raise<Finding>): AvailabilityZone =
        required(raise, EntryFlag.AVAILABILITY_ZONE, "a name") { text ->
            text.takeIf { it.isNotBlank() }?.let(::AvailabilityZone)
        }

    fun url(raise: Raise<Finding>, flag: EntryFlag): URI = required(raise, flag, "an http or https URL", ::toUrl)

    fun optionalUrl(raise: Raise<Finding>, flag: EntryFlag): URI? =
        optional(raise, flag, "an http or https URL", ::toUrl)

    fun endpoint(raise: Raise<Finding>, flag: EntryFlag): Endpoint =
        required(raise, flag, "host:port", Endpoint::parse)

    fun optionalEndpoint(raise: Raise<Finding>, flag: EntryFlag): Endpoint? =
        optional(raise, flag, "host:port", Endpoint::parse)

    fun number(raise: Raise<Finding>, flag: EntryFlag, range: LongRange): Long =
        required(raise, flag, "a whole number in $range") { text -> text.toLongOrNull()?.takeIf { it in range } }

    fun optionalFile(raise: Raise<Finding>, flag: EntryFlag): Path? =
        optional(raise, flag, "a readable file") { text ->
            runCatching { Path.of(text) }.getOrNull()?.takeIf { Files.isReadable(it) }
        }

    fun optionalSeed(raise: Raise<Finding>): Long? =
        optional(raise, EntryFlag.SEED, "a whole number") { it.toLongOrNull() }

    private fun <T : Any> required(raise: Raise<Finding>, flag: EntryFlag, shape: String, convert: (String) -> T?): T =
        with(raise) {
            val value = optional(raise, flag, shape, convert)
            ensureNotNull(value) { finding(flag, "is missing; give --${flag.flag} or ${flag.variable}") }
        }

    private fun <T : Any> optional(raise: Raise<Finding>, flag: EntryFlag, shape: String, convert: (String) -> T?): T? =
        with(raise) {
            val text = flags[flag] ?: environment[flag.variable] ?: flag.default ?: return null
            val value = convert(text)
            ensure(value != null) { finding(flag, "is not $shape: \"$text\"") }
            value
        }

    private fun finding(flag: EntryFlag, message: String): Finding {
        val fromEnvironment = flag !in flags && flag.variable in environment
        return Finding(if (fromEnvironment) flag.variable else "--${flag.flag}", "", null, message)
    }
}

private fun toUrl(text: String): URI? =
    runCatching { URI(text) }.getOrNull()?.takeIf { it.scheme in URL_SCHEMES && it.host != null }

private val URL_SCHEMES = setOf("http", "https")
