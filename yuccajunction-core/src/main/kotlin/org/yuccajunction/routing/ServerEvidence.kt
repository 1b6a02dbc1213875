package org.yuccajunction.routing

/**
 * This entry's observations of one backend server since the server's state last changed.
 *
 * @property consecutiveWarmReports load reports in a row that did not say cold
 * @property completedAttempts attempts that completed
 * @property consecutiveFailureWeight sum of the weights of the failed attempts in a row
 * @property consecutiveSlowAnswers answers in a row whose first token came far later than [meanFirstTokenMillis]
 * @property consecutiveUnansweredPolls load polls in a row without an answer
 * @property relapses how often the server left the ready state; enough completed attempts in one state reset the count
 * @property meanFirstTokenMillis exponential moving average of the time to the first token while the server is ready,
 * null before the first
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
