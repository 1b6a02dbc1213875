package org.yuccajunction.rollout

/** How the share of the new version grows from the first share to all requests. */
public enum class MovePace {
    /** The share doubles from step to step as long as no fault shows. */
    DOUBLING,

    /**
     * The share stays at the first share for most of the time and then becomes 1.
     *
     * A version that turns bad late has then got few requests, since all requests until the time limit count against
     * its [ExposureLimit].
     */
    LATE_CUT_OVER,
}
