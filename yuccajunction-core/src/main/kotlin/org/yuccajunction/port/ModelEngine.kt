package org.yuccajunction.port

import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.FencingNumber
import org.yuccajunction.model.LoadReport

/** A model engine, as one backend server runs it. */
public interface ModelEngine {
    /**
     * Generates an answer, reporting each event to [onEvent] as it comes.
     *
     * Returns when the stream has ended in any way; cancelling the call cancels the generation. The last event is
     * always one of [EngineEvent.Completed], [EngineEvent.Rejected], [EngineEvent.Failed], [EngineEvent.Broken].
     */
    public suspend fun generate(endpoint: Endpoint, request: EngineRequest, onEvent: suspend (EngineEvent) -> Unit)

    /** Reads the load report; returns null when the server does not answer. */
    public suspend fun readLoadReport(endpoint: Endpoint): LoadReport?

    /** Gives an order that carries a fencing number; returns whether the server took it, null when nothing is known. */
    public suspend fun sendOrder(endpoint: Endpoint, order: ServerOrder, fencingNumber: FencingNumber): Boolean?

    /** Exports the KV cache of a request; returns a handle for [importKvCache], null where it can't be had. */
    public suspend fun exportKvCache(endpoint: Endpoint, attemptId: String): String?

    /** Imports a KV cache that another server exported; returns whether it is in place. */
    public suspend fun importKvCache(endpoint: Endpoint, handle: String): Boolean
}
