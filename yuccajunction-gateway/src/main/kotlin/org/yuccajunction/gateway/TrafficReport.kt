package org.yuccajunction.gateway

/** What the traffic thread tells the control thread for the next beat. */
internal class TrafficReport(
    val admitted: Map<String, Double>,
    val usage: Map<Long, Map<String, Int>>,
    val openRequests: Map<String, Int>,
)
