package org.yuccajunction.record

/**
 * Bounds on a [RecordTable].
 *
 * @property maxRecords records kept at once
 * @property maxAnswerBytes bytes of kept answers
 * @property maxJoiners callers that wait for one running request
 * @property maxFirstExecutionAgeEpochs age of an identity, in epochs, up to which it may be run for the first time
 * @property maxRecordAgeEpochs age of an identity, in epochs, up to which its record is kept
 */
public data class RecordLimits(
    public val maxRecords: Int = 50_000,
    public val maxAnswerBytes: Long = 16_777_216,
    public val maxJoiners: Int = 64,
    public val maxFirstExecutionAgeEpochs: Long = 15,
    public val maxRecordAgeEpochs: Long = 30,
) {
    init {
        require(maxFirstExecutionAgeEpochs < maxRecordAgeEpochs) {
            "a record is not kept longer than its identity may be run: $maxFirstExecutionAgeEpochs, $maxRecordAgeEpochs"
        }
    }
}
