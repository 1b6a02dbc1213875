package org.yuccajunction.quota

import org.yuccajunction.model.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class UsageRelayTest {
    private val relay = UsageRelay()
    private val workspace = WorkspaceId("w")

    private fun report(sequence: Long, admitted: Double, name: String = "a", incarnation: Long = 1) =
        RelayedUsage(name, incarnation, sequence, mapOf("w" to admitted), mapOf("w" to admitted))

    private fun accept(report: RelayedUsage) = relay.accept(report.name, workspace, report)

    /** Guards against usage that is counted twice, because an older report arrives by a longer way. */
    @Test
    fun `counts older than the known ones are ignored`() {
        assertTrue(accept(report(sequence = 5, admitted = 30.0)))
        assertFalse(accept(report(sequence = 4, admitted = 20.0)))
        assertFalse(accept(report(sequence = 5, admitted = 30.0)))
        assertTrue(accept(report(sequence = 1, admitted = 1.0, incarnation = 2)))
        assertFalse(accept(report(sequence = 9, admitted = 40.0, incarnation = 1)))
    }

    /** Guards against messages that circle among the entries without end. */
    @Test
    fun `changed counts are passed on in two heartbeats, unchanged ones are not`() {
        accept(report(sequence = 5, admitted = 30.0))
        assertEquals(listOf(report(sequence = 5, admitted = 30.0)), relay.nextReports())
        assertEquals(listOf(report(sequence = 5, admitted = 30.0)), relay.nextReports())
        accept(report(sequence = 6, admitted = 30.0))
        assertEquals(emptyList(), relay.nextReports())
    }

    @Test
    fun `the newest of too many counts are passed on`() {
        (1..500).forEach { accept(report(sequence = 1, admitted = 1.0, name = "entry-$it")) }
        val names = relay.nextReports().map { it.name }
        assertEquals((373..500).map { "entry-$it" }, names)
    }

    @Test
    fun `the counts of entries that are gone are forgotten`() {
        accept(report(sequence = 5, admitted = 30.0))
        relay.retainPeers { false }
        assertEquals(emptyList(), relay.nextReports())
        assertTrue(accept(report(sequence = 1, admitted = 1.0)))
    }
}
