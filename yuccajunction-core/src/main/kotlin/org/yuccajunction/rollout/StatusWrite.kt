package org.yuccajunction.rollout

import org.yuccajunction.model.MonotonicTime

/**
 * A write of [status] to the store whose result is not known yet.
 *
 * @property sentAt when the write was sent
 */
public data class StatusWrite(public val status: MoveStatus, public val sentAt: MonotonicTime)
