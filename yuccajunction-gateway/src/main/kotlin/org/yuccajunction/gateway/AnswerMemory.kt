package org.yuccajunction.gateway

/**
 * Bounds the memory of answers that are held until they are whole, over all requests together.
 *
 * Confined to the traffic thread.
 */
internal class AnswerMemory(private val maxBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR) {
    private var heldBytes = 0L

    /** Counts [bytes] more, or fewer if negative; returns whether the bound is kept. */
    fun adjust(bytes: Int): Boolean {
        heldBytes += bytes
        return heldBytes <= maxBytes
    }

    private companion object {
        /** A quarter of the heap, beside which buffers of connections and the control state need room. */
        const val HEAP_DIVISOR = 4
    }
}
