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
    private val limits = RecordLimits(records = 3, answerBytes = 10, firstRunEpochs = 2, keptEpochs = 4)
    private val table = RecordTable(self, limits)
    private val answer = ForwardOutcome.Answered(201, emptyList(), "booked".toByteArray())
    private val refusal = ForwardOutcome.Refused(RefusalReason.NO_CAPACITY, 1_000, "full")

    @Test
    fun `a request is run once and its duplicate joins it`() {
        var joined: ForwardOutcome? = null
        assertEquals(RecordBeginning.Run, begin(id("a")))
        assertEquals(RecordBeginning.Join, table.begin(id("a"), "f", 0) { joined = it })
        table.end(id("a"), answer)
        assertEquals(answer, joined)
        assertEquals(RecordBeginning.Known(answer), begin(id("a")))
    }

    @Test
    fun `an unclear outcome is final`() {
        begin(id("a"))
        table.end(id("a"), ForwardOutcome.Unknown("broken"))
        table.end(id("a"), answer)
        assertEquals(RecordBeginning.Known(ForwardOutcome.Unknown("broken")), begin(id("a")))
    }

    @Test
    fun `a request that was not run may be run later`() {
        begin(id("a"))
        table.end(id("a"), refusal)
        assertEquals(RecordBeginning.Run, begin(id("a")))
    }

    @Test
    fun `an identity that serves another request is not run`() {
        begin(id("a"))
        assertEquals(RecordBeginning.Mismatch, table.begin(id("a"), "other", 0) {})
    }

    @Test
    fun `a first run is accepted only within the window and a record outlives it`() {
        begin(id("ran", epoch = 0))
        table.end(id("ran", epoch = 0), answer)
        assertEquals(RecordBeginning.Run, begin(id("young", epoch = 0), epoch = 2))
        assertEquals(RecordBeginning.Expired, begin(id("old", epoch = 0), epoch = 3))
        assertIs<RecordBeginning.Known>(begin(id("ran", epoch = 0), epoch = 4))
        assertEquals(RecordBeginning.Expired, begin(id("ran", epoch = 0), epoch = 5))
        assertEquals(0, table.size)
    }

    @Test
    fun `a late reading of the epoch does not reopen the window`() {
        begin(id("a", epoch = 5), epoch = 5)
        assertEquals(RecordBeginning.Expired, begin(id("b", epoch = 0), epoch = 0))
    }

    @Test
    fun `a full table refuses first runs and answers known ones`() {
        listOf("a", "b", "c").forEach { begin(id(it)) }
        assertEquals(RecordBeginning.Full, begin(id("d")))
        assertEquals(RecordBeginning.Join, begin(id("a")))
    }

    @Test
    fun `answers beyond the bytes are dropped, the knowledge that they ran is not`() {
        listOf("a", "b").forEach {
            begin(id(it))
            table.end(id(it), answer)
        }
        val known = assertIs<RecordBeginning.Known>(begin(id("a")))
        assertIs<ForwardOutcome.Unknown>(known.outcome)
        assertEquals(RecordBeginning.Known(answer), begin(id("b")))
    }

    @Test
    fun `a closed table runs nothing new and hands every record on`() {
        begin(id("running"))
        begin(id("done"))
        table.end(id("done"), answer)
        table.close()
        assertEquals(RecordBeginning.Closed, begin(id("new")))
        val handed = HandedRecords()
        handed.take(HandOver(self, table.export(), identityEpoch = 0))
        assertIs<ForwardOutcome.Unknown>(handed.outcome(id("running")))
        assertIs<ForwardOutcome.Answered>(handed.outcome(id("done")))
        assertEquals(RefusalReason.HOME_LEFT, assertIs<ForwardOutcome.Refused>(handed.outcome(id("new"))).reason)
    }

    private fun id(suffix: String, epoch: Long = 0) = RequestId(self, epoch, suffix)

    private fun begin(id: RequestId, epoch: Long = 0) = table.begin(id, "f", epoch) {}
}
