package org.yuccajunction.shortage

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import kotlin.time.Duration.Companion.seconds

/** Collects the rejections of one service, so that they are logged at most once a second. */
internal class RejectionLog(private val service: ServiceName) {
    private val rejected = HashMap<Int, Int>()
    private var terms: AdmissionTerms? = null
    private var toldAt: MonotonicTime? = null

    fun record(rank: Int, terms: AdmissionTerms) {
        rejected.merge(rank, 1, Int::plus)
        this.terms = terms
    }

    /** Returns what was rejected since the last call that returned something, null if it is not due. */
    fun take(now: MonotonicTime): ShortageStatus? {
        val lastTerms = terms ?: return null
        if (toldAt.let { it != null && now - it < INTERVAL }) return null
        toldAt = now
        val status = ShortageStatus(service, HashMap(rejected), lastTerms)
        rejected.clear()
        terms = null
        return status
    }

    private companion object {
        val INTERVAL = 1.seconds
    }
}
