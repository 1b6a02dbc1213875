package org.yuccajunction.rollout

import org.yuccajunction.model.MonotonicTime

/**
 * Which requests of one entry a version on trial may get.
 *
 * @property move identifies the move; exposure is counted anew for another move
 * @property target version on trial
 * @property isCutOver whether the version has stood its trial, so that requests go there that would not end at the old
 * version before [completesAt]
 * @property startedAt when this entry learned of the order, or earlier where a peer did
 * @property completesAt time at which the old version should have no open requests
 * @property limitAt time limit of the move, after which exposure is no longer limited
 * @property exposure limit over all entries
 * @property slack this entry's part of [ExposureLimit.slack]
 */
public data class VersionTrial(
    public val move: String,
    public val target: String,
    public val isCutOver: Boolean,
    public val startedAt: MonotonicTime,
    public val completesAt: MonotonicTime,
    public val limitAt: MonotonicTime,
    public val exposure: ExposureLimit,
    public val slack: Double,
)
