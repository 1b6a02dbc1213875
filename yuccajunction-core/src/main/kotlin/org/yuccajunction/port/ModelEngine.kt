package org.yuccajunction.port

import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.FencingNumber
import org.yuccajunction.model.LoadReport

/** Client for model engines, each at the endpoint of one backend server. */
public interface ModelEngine {
    /**
     * Generates an answer and passes each event to [onEvent] as it arrives.
     *
     * Returns when the stream has ended; cancellation stops the generation at the engine. The last event is one of
     * [EngineEvent.Completed], [EngineEvent.Rejected], [EngineEvent.Failed], [EngineEvent.Broken].
     */
    public suspend fun generate(endpoint: Endpoint, request: EngineRequest, onEvent: suspend (EngineEvent) -> Unit)

    /** Returns the load report of the backend server; null when the server does not answer. */
    public suspend fun readLoadReport(endpoint: Endpoint): LoadReport?

    /** Sends [order]; returns whether the server accepted it, or null when the outcome is unknown. */
    public suspend fun sendOrder(endpoint: Endpoint, order: ServerOrder, fencingNumber: FencingNumber): Boolean?

    /** Exports the KV cache of an attempt; returns a handle for [importKvCache], or null when the export failed. */
    public suspend fun exportKvCache(endpoint: Endpoint, attemptId: String): String?

    /** Imports the KV cache that another server exported as [handle]; returns whether the import succeeded. */
    public suspend fun importKvCache(endpoint: Endpoint, handle: String): Boolean
}
