package org.yuccajunction.record

import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.RefusalReason
import org.yuccajunction.model.RequestId
import org.yuccajunction.port.ForwardOutcome
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class RecordTableTest {
    private val self = EntryIncarnation(InstanceId("entry-1"), 7)
    private val limits =
        RecordLimits(maxRecords = 3, maxAnswerBytes = 10, maxFirstExecutionAgeEpochs = 2, maxRecordAgeEpochs = 4)
    private val table = RecordTable(self, limits)
    private val answer = ForwardOutcome.Answered(201, emptyList(), "booked".toByteArray())
    private val refusal = ForwardOutcome.Refused(RefusalReason.NO_CAPACITY, 1_000, "full")

    @Test
    fun `a request is run once and its duplicate joins it`() {
        var joined: ForwardOutcome? = null
        assertEquals(BeginResult.Execute, begin(id("a")))
        assertEquals(BeginResult.Join, table.begin(id("a"), "f", 0) { joined = it })
        table.recordOutcome(id("a"), answer)
        assertEquals(answer, joined)
        assertEquals(BeginResult.Known(answer), begin(id("a")))
    }

    @Test
    fun `an unclear outcome is final`() {
        begin(id("a"))
        table.recordOutcome(id("a"), ForwardOutcome.Unknown("broken"))
        table.recordOutcome(id("a"), answer)
        assertEquals(BeginResult.Known(ForwardOutcome.Unknown("broken")), begin(id("a")))
    }

    @Test
    fun `a request that was not run may be run later`() {
        begin(id("a"))
        table.recordOutcome(id("a"), refusal)
        assertEquals(BeginResult.Execute, begin(id("a")))
    }

    @Test
    fun `an identity that serves another request is not run`() {
        begin(id("a"))
        assertEquals(BeginResult.Mismatch, table.begin(id("a"), "other", 0) {})
    }

    @Test
    fun `a first run is accepted only within the window and a record outlives it`() {
        begin(id("ran", epoch = 0))
        table.recordOutcome(id("ran", epoch = 0), answer)
        assertEquals(BeginResult.Execute, begin(id("young", epoch = 0), epoch = 2))
        assertEquals(BeginResult.Expired, begin(id("old", epoch = 0), epoch = 3))
        assertIs<BeginResult.Known>(begin(id("ran", epoch = 0), epoch = 4))
        assertEquals(BeginResult.Expired, begin(id("ran", epoch = 0), epoch = 5))
        assertEquals(0, table.size)
    }

    @Test
    fun `a late reading of the epoch does not reopen the window`() {
        begin(id("a", epoch = 5), epoch = 5)
        assertEquals(BeginResult.Expired, begin(id("b", epoch = 0), epoch = 0))
    }

    @Test
    fun `a full table refuses first runs and answers known ones`() {
        listOf("a", "b", "c").forEach { begin(id(it)) }
        assertEquals(BeginResult.Full, begin(id("d")))
        assertEquals(BeginResult.Join, begin(id("a")))
    }

    @Test
    fun `answers beyond the bytes are dropped, the knowledge that they ran is not`() {
        listOf("a", "b").forEach {
            begin(id(it))
            table.recordOutcome(id(it), answer)
        }
        val known = assertIs<BeginResult.Known>(begin(id("a")))
        assertIs<ForwardOutcome.Unknown>(known.outcome)
        assertEquals(BeginResult.Known(answer), begin(id("b")))
    }

    @Test
    fun `a closed table runs nothing new and hands every record on`() {
        begin(id("running"))
        begin(id("done"))
        table.recordOutcome(id("done"), answer)
        table.close()
        assertEquals(BeginResult.Closed, begin(id("new")))
        val handed = HandedRecords()
        handed.tryAdd(HandOver(self, table.exportRecords(), identityEpoch = 0))
        assertIs<ForwardOutcome.Unknown>(handed.outcomeOf(id("running")))
        assertIs<ForwardOutcome.Answered>(handed.outcomeOf(id("done")))
        assertEquals(RefusalReason.HOME_LEFT, assertIs<ForwardOutcome.Refused>(handed.outcomeOf(id("new"))).reason)
    }

    private fun id(suffix: String, epoch: Long = 0) = RequestId(self, epoch, suffix)

    private fun begin(id: RequestId, epoch: Long = 0) = table.begin(id, "f", epoch) {}
}
