package org.yuccajunction.record

/**
 * Bounds on a [RecordTable].
 *
 * @property records records kept at once
 * @property answerBytes bytes of kept answers
 * @property joiners callers that wait for one running request
 * @property firstRunEpochs age of an identity, in epochs, up to which it may be run for the first time
 * @property keptEpochs age of an identity, in epochs, up to which its record is kept
 */
public data class RecordLimits(
    public val records: Int = 50_000,
    public val answerBytes: Long = 16_777_216,
    public val joiners: Int = 64,
    public val firstRunEpochs: Long = 15,
    public val keptEpochs: Long = 30,
) {
    init {
        require(firstRunEpochs < keptEpochs) {
            "a record is not kept longer than its identity may be run: $firstRunEpochs, $keptEpochs"
        }
    }
}
