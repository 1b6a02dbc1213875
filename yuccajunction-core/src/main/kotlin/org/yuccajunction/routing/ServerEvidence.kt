package org.yuccajunction.routing

/**
 * What this entry has seen of one server since the state of the server last changed.
 *
 * @property warmReports reports in a row that did not say cold
 * @property completed attempts that completed
 * @property failureWeight weight of the failed attempts in a row
 * @property slowAnswers first tokens in a row that came far later than [firstTokenMillis]
 * @property unansweredPolls polls in a row without an answer
 * @property relapses how often the server left the ready state without a longer time of good service between
 * @property firstTokenMillis moving average of the time to the first token while ready, null before the first
 */
public data class ServerEvidence(
    public val warmReports: Int = 0,
    public val completed: Int = 0,
    public val failureWeight: Int = 0,
    public val slowAnswers: Int = 0,
    public val unansweredPolls: Int = 0,
    public val relapses: Int = 0,
    public val firstTokenMillis: Double? = null,
)
