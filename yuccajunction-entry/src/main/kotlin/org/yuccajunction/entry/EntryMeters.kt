package org.yuccajunction.entry

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import org.yuccajunction.adapters.peer.PeerTraffic
import org.yuccajunction.adapters.platform.StoreCallKind

/** Registers the metrics of the control thread, of peer traffic and of the JVM's memory. */
internal object EntryMeters {
    fun register(meters: MeterRegistry, control: ControlThread, traffic: PeerTraffic) {
        FunctionCounter
            .builder("yuccajunction.control.processor.seconds", control) {
                it.processorTime.inWholeNanoseconds /
                    NANOS_PER_SECOND
            }
            .description("Processor time of the control thread")
            .register(meters)
        FunctionCounter
            .builder("yuccajunction.peer.sent.bytes", traffic) { it.bytesSent.toDouble() }
            .description("Bytes sent to other entries")
            .register(meters)
        FunctionCounter
            .builder("yuccajunction.peer.received.bytes", traffic) { it.bytesReceived.toDouble() }
            .description("Bytes received from other entries")
            .register(meters)
        Gauge
            .builder("yuccajunction.configuration.revision", control) { it.board.deployment.revision.value.toDouble() }
            .description("Revision of the configuration in force here")
            .register(meters)
        JvmMemoryMetrics().bindTo(meters)
    }

    /** Counts one call to the object API. */
    fun countStoreCall(meters: MeterRegistry, kind: StoreCallKind) {
        meters.counter("yuccajunction.store.calls", "kind", kind.name.lowercase()).increment()
    }

    private const val NANOS_PER_SECOND = 1e9
}
