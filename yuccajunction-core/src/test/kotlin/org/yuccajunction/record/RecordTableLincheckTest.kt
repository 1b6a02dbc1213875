package org.yuccajunction.record

import org.jetbrains.kotlinx.lincheck.annotations.Operation
import org.jetbrains.kotlinx.lincheck.check
import org.jetbrains.kotlinx.lincheck.strategy.managed.modelchecking.ModelCheckingOptions
import org.jetbrains.kotlinx.lincheck.strategy.stress.StressOptions
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.RefusalReason
import org.yuccajunction.model.RequestId
import org.yuccajunction.port.ForwardOutcome
import kotlin.test.Test

class RecordTableLincheckTest {
    private val self = EntryIncarnation(InstanceId("entry-1"), 7)
    private val table =
        RecordTable(self, RecordLimits(maxRecords = 2, maxFirstExecutionAgeEpochs = 1, maxRecordAgeEpochs = 2))

    @Operation
    fun begin(second: Boolean, epoch: Boolean): String =
        when (val beginning = table.begin(id(second), "f", if (epoch) 1 else 0) {}) {
            is BeginResult.Known -> "Known ${beginning.outcome::class.simpleName}"
            else -> beginning.toString()
        }

    @Operation
    fun answer(second: Boolean) =
        table.recordOutcome(id(second), ForwardOutcome.Answered(200, emptyList(), ByteArray(1)))

    @Operation
    fun refuse(second: Boolean) =
        table.recordOutcome(id(second), ForwardOutcome.Refused(RefusalReason.NO_CAPACITY, 1_000, "full"))

    @Operation
    fun expire() {
        table.begin(RequestId(self, 4, "x"), "f", 4) {}
    }

    @Operation
    fun close() = table.close()

    @Operation
    fun export(): Int = runCatching { table.exportRecords().size }.getOrDefault(NOT_CLOSED)

    @Test
    fun `every interleaving of a few operations is linearizable`() = ModelCheckingOptions()
        .iterations(10)
        .invocationsPerIteration(200)
        .threads(2)
        .actorsPerThread(3)
        .check(this::class)

    @Test
    fun `operations under stress are linearizable`() = StressOptions()
        .iterations(20)
        .invocationsPerIteration(500)
        .threads(3)
        .actorsPerThread(3)
        .check(this::class)

    private fun id(second: Boolean) = RequestId(self, 0, if (second) "b" else "a")

    private companion object {
        const val NOT_CLOSED = -1
    }
}
