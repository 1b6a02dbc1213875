package org.yuccajunction.routing

/**
 * What this entry has seen of one server since the state of the server last changed.
 *
 * @property consecutiveWarmReports reports in a row that did not say cold
 * @property completedAttempts attempts that completed
 * @property consecutiveFailureWeight weight of the failed attempts in a row
 * @property consecutiveSlowAnswers first tokens in a row that came far later than [meanFirstTokenMillis]
 * @property consecutiveUnansweredPolls polls in a row without an answer
 * @property relapses how often the server left the ready state without a longer time of good service between
 * @property meanFirstTokenMillis moving average of the time to the first token while ready, null before the first
 */
public data class ServerEvidence(
    public val consecutiveWarmReports: Int = 0,
    public val completedAttempts: Int = 0,
    public val consecutiveFailureWeight: Int = 0,
    public val consecutiveSlowAnswers: Int = 0,
    public val consecutiveUnansweredPolls: Int = 0,
    public val relapses: Int = 0,
    public val meanFirstTokenMillis: Double? = null,
)
