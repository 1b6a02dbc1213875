package org.yuccajunction.ctl

import kotlin.test.Test
import kotlin.test.assertEquals

class CtlSettingsTest {
    private val settings = CtlSettings(mapOf("YUCCAJUNCTION_ENTRIES" to "10.0.0.1:8082"))

    @Test
    fun `plain text outside loopback is refused unless allowed`() {
        assertEquals(listOf("http://127.0.0.1:1", "http://[::1]:2"), urls("127.0.0.1:1, [::1]:2"))
        assertEquals(listOf("https://10.0.0.1:8082"), urls(null))
        assertEquals(listOf("http://10.0.0.1:1"), urls("http://10.0.0.1:1", plainTextAllowed = true))
        assertEquals(null, urls("http://10.0.0.1:1"))
        assertEquals(null, urls("no address"))
    }

    private fun urls(text: String?, plainTextAllowed: Boolean = false) =
        settings.entries(text, plainTextAllowed).getOrNull()
}
