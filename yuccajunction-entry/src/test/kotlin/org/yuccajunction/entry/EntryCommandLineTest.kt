package org.yuccajunction.entry

import kotlin.test.Test
import kotlin.test.assertEquals

class EntryCommandLineTest {
    @Test
    fun `parse returns the given flags`() {
        assertEquals(
            mapOf(EntryFlag.INSTANCE_ID to "entry-1", EntryFlag.SEED to "4"),
            EntryCommandLine.parse(arrayOf("--instance-id", "entry-1", "--seed", "4")).getOrNull(),
        )
    }

    @Test
    fun `parse reports unknown flags and missing values together`() {
        assertEquals<List<String>?>(
            listOf("--zone: is not a flag of yuccajunction-entry", "--seed: has no value"),
            EntryCommandLine.parse(arrayOf("--zone", "--seed")).leftOrNull()?.map { it.toString() },
        )
    }
}
