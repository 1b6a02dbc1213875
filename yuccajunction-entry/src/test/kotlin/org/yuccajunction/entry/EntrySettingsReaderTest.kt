package org.yuccajunction.entry

import org.yuccajunction.model.Endpoint
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class EntrySettingsReaderTest {
    private val flags =
        mapOf(
            EntryFlag.INSTANCE_ID to "entry-1",
            EntryFlag.AVAILABILITY_ZONE to "cairo-a",
            EntryFlag.PLATFORM_URL to "http://127.0.0.1:9000",
        )

    @Test
    fun `settings that are not given have their defaults`() {
        val settings = EntrySettingsReader.read(flags, emptyMap()).getOrNull()!!
        assertEquals(Endpoint("127.0.0.1", 8080), settings.callerListen)
        assertEquals(25.seconds, settings.shutdownNotice)
        assertEquals(settings.platformUrl, settings.cloudUrl)
    }

    @Test
    fun `a flag takes precedence over the environment variable`() {
        val environment = mapOf("YUCCAJUNCTION_INSTANCE_ID" to "entry-9", "YUCCAJUNCTION_OPEN_REQUEST_LIMIT" to "7")
        val settings = EntrySettingsReader.read(flags, environment).getOrNull()!!
        assertEquals("entry-1", settings.instanceId.value)
        assertEquals(7, settings.openRequestLimit)
    }

    @Test
    fun `read reports every finding with the flag or environment variable`() {
        val findings =
            EntrySettingsReader
                .read(
                    mapOf(EntryFlag.PLATFORM_URL to "ftp://x", EntryFlag.INSTANCE_ID to "entry-1"),
                    mapOf("YUCCAJUNCTION_CALLER_LISTEN" to "nowhere", "YUCCAJUNCTION_SEED" to "x"),
                ).leftOrNull()!!
                .map { it.toString() }
        assertEquals(
            listOf(
                "--availability-zone: is missing; give --availability-zone or YUCCAJUNCTION_AVAILABILITY_ZONE",
                "--platform-url: is not an http or https URL: \"ftp://x\"",
                "YUCCAJUNCTION_CALLER_LISTEN: is not host:port: \"nowhere\"",
                "YUCCAJUNCTION_SEED: is not a whole number: \"x\"",
            ),
            findings,
        )
    }
}
