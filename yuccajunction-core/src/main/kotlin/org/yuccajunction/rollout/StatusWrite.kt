package org.yuccajunction.rollout

import org.yuccajunction.model.MonotonicTime

/**
 * A write of a status of which the outcome is not known yet.
 *
 * @property sentAt when it was sent
 */
public data class StatusWrite(public val status: MoveStatus, public val sentAt: MonotonicTime)
