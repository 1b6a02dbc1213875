package org.yuccajunction.record

/**
 * The limits of a [RecordTable] and of [HandedRecords].
 *
 * @property maxRecords number of records kept at once
 * @property maxAnswerBytes total size of the kept answer bodies, in bytes
 * @property maxJoiners number of further callers that may wait for one execution
 * @property maxFirstExecutionAgeEpochs age of an identity, in epochs, up to which a first execution may start
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
            "records must outlive first executions, in epochs: $maxFirstExecutionAgeEpochs, $maxRecordAgeEpochs"
        }
    }
}
