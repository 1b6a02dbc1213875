package org.yuccajunction.shortage

/**
 * The figures behind a rejection, per second and for an average entry.
 *
 * @property admittedFraction fraction of the requests of this workspace and rank that is admitted
 * @property demand requested work in slot milliseconds
 * @property capacity work that the servers complete, in slot milliseconds
 * @property budget work that is admitted, in slot milliseconds
 * @property waitMillis time for which a request waits at the servers
 */
public data class AdmissionTerms(
    public val admittedFraction: Double,
    public val demand: Double,
    public val capacity: Double,
    public val budget: Double,
    public val waitMillis: Double,
)
