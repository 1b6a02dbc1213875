package org.yuccajunction.entries

/** Longest age in milliseconds that a heartbeat can report; greater ones would overflow in sums of times. */
private const val MAX_AGE_MILLIS = 86_400_000L

/**
 * Returns this heartbeat without numbers that no entry reports of itself: negative ones, ages beyond a day, and numbers
 * that are not finite.
 *
 * A datagram that was damaged, or written by a faulty build, must not turn into times in the future or sums below zero.
 */
public fun EntryHeartbeat.withPlausibleValues(): EntryHeartbeat =
    copy(
        openRequests = openRequests.filterValues { it >= 0 },
        admitted = admitted.filterValues(::isPlausible),
        spareQuotas = spareQuotas.filterValues(::isPlausible),
        busyServers = busyServers.filterValues(::isPlausible),
        requestLimits = requestLimits.filterValues(::isPlausible),
        brittleServices = brittleServices.filterValues(::isPlausible),
        rejectionAgesMillis = rejectionAgesMillis.filterValues { it in 0..MAX_AGE_MILLIS },
        quarantine = quarantine.copy(ends = quarantine.ends.filter { it.ageMillis in 0..MAX_AGE_MILLIS }),
    )

private fun isPlausible(value: Double): Boolean = value.isFinite() && value >= 0.0
