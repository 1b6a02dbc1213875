package org.yuccajunction.entry.serving

import kotlinx.coroutines.CoroutineScope
import org.yuccajunction.record.HandedRecords
import org.yuccajunction.record.RecordTable
import org.yuccajunction.traffic.RetryBudget
import org.yuccajunction.traffic.TrafficEnvironment
import java.util.concurrent.atomic.AtomicInteger

/** The state that all requests of one entry share. */
internal class ServingState(val context: ServingContext, val scope: CoroutineScope) {
    val environment =
        TrafficEnvironment(
            context.table,
            context.chooser,
            context.openRequests,
            RetryBudget(context.clock()),
            context.random,
        )
    val requestIds = RequestIdGenerator(context.self, context.clock, context.random)
    val meters = ServingMeters(context.meters)
    val problems = Problems(context)
    val records = RecordTable(context.self, context.limits.records)
    val handedRecords = HandedRecords(context.limits.records)
    val streams = HeldStreams()

    /** Number of requests that hold a slot of this entry. */
    val openRequestCount = AtomicInteger()

    /** Number of callers' requests whose answers are not sent yet. */
    val unansweredRequestCount = AtomicInteger()

    @Volatile
    var phase: ServingPhase = ServingPhase.SERVING
}
