package org.yuccajunction.gateway

/**
 * Bounds the memory of the bodies of all callers' requests together.
 *
 * Large bodies may take only a part of it, so that small requests find room beside them. Confined to the traffic
 * thread.
 */
internal class RequestMemory(private val maxBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR) {
    private var heldBytes = 0L

    /** Takes [bytes] more for a body that then has [bodyBytes]; returns false where they exceed the bound. */
    fun tryTake(bytes: Int, bodyBytes: Int): Boolean {
        val limit = if (bodyBytes > SMALL_BODY_BYTES) (maxBytes * LARGE_BODIES_FRACTION).toLong() else maxBytes
        if (heldBytes + bytes > limit) return false
        heldBytes += bytes
        return true
    }

    /** Gives back [bytes] that were taken before. */
    fun giveBack(bytes: Int) {
        heldBytes -= bytes
    }

    private companion object {
        /** A quarter of the heap, beside which answers, buffers of connections and the control state need room. */
        const val HEAP_DIVISOR = 4
        const val SMALL_BODY_BYTES = 65_536
        const val LARGE_BODIES_FRACTION = 0.75
    }
}
