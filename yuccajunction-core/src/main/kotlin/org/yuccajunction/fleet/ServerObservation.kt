package org.yuccajunction.fleet

import kotlinx.serialization.Serializable

/**
 * What an entry reports to its peers of one backend server, in 17 to 26 bytes.
 *
 * @property server hash of the server's identity and start, see [BackendServer.incarnation]
 * @property running requests that the server executed
 * @property waiting requests that waited at the server
 * @property pacePercent pace that the server reported, 0 where it reported none
 * @property ageMillis age of the server's report when this was sent; so clocks of entries are never compared
 * @property latencyRatioPercent multiple of the predicted latency that the reporting entry has measured, by its own
 *   answers and without the effect of the pace
 * @property answers number of answers behind [latencyRatioPercent], 0 for none
 * @property wasRejected whether the request whose answer carried the server's report was rejected
 */
@Serializable
public data class ServerObservation(
    public val server: Int,
    public val running: Int = 0,
    public val waiting: Int = 0,
    public val pacePercent: Int = 0,
    public val ageMillis: Int = 0,
    public val latencyRatioPercent: Int = USUAL_PERCENT,
    public val answers: Int = 0,
    public val wasRejected: Boolean = false,
) {
    public companion object {
        /** The percentage of what is usual. */
        public const val USUAL_PERCENT: Int = 100
    }
}
