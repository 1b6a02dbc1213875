package org.yuccajunction.fleet

/**
 * What a request would cost at one backend server, as terms in milliseconds that add up to [totalMillis].
 *
 * The terms are what the choice compares, so logs and explanations print them as they are.
 *
 * @property waitMillis predicted delay by the requests that run and wait at the server
 * @property prefillMillis predicted time of the request itself at an idle server of usual speed, such as for processing
 *   those tokens of its prompt that are not cached there
 * @property paceMillis what the pace and the learned speed of the server add to both, negative for a fast server
 * @property failureMillis addition for the fraction of recent attempts there that failed or were rejected
 * @property otherZoneMillis addition for a server in another availability zone
 * @property recomputedMillis delay of the other requests there while the server processes shared tokens again
 * @property uncertaintyMillis addition for what is not known exactly, random or by the requests that others send there
 * @property knowledgeAgeMillis age of what this entry knows of the load of the server; it adds nothing by itself
 */
public data class CandidateTerms(
    public val waitMillis: Double,
    public val prefillMillis: Double,
    public val paceMillis: Double,
    public val failureMillis: Double,
    public val otherZoneMillis: Double,
    public val recomputedMillis: Double,
    public val uncertaintyMillis: Double,
    public val knowledgeAgeMillis: Long,
) {
    /** Predicted time until the first event or the whole answer. */
    public val predictedMillis: Double get() = waitMillis + prefillMillis + paceMillis

    /** The sum of all terms. */
    public val totalMillis: Double
        get() = predictedMillis + failureMillis + otherZoneMillis + recomputedMillis + uncertaintyMillis
}
